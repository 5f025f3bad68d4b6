"""What operators and replicas ask of a fleet, at any member.

A member that does not lead passes the command on to the leader. All commands are
idempotent, so a caller that got no clear answer may ask again anywhere.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from heronladder_consensus.errors import LeadershipLostError, NotLeaderError
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND
from heronladder_runtime.cluster_versions import reduce_to_version
from heronladder_runtime.configuration import EVACUATION_KIND, REPLICA_KIND
from heronladder_runtime.replica_incarnations import is_earlier_incarnation
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_control.cold_reports import ColdReports
from heronladder_control.evacuations import LateOrders
from heronladder_control.heartbeat_spread import HeartbeatSpread, SpreadView
from heronladder_control.leader_asks import FleetOutcome, LeaderAsks, Standing
from heronladder_control.member_context import MemberContext
from heronladder_control.order_times import LeaderTimes, OrderTimes
from heronladder_control.registration_batches import RegistrationBatches
from heronladder_control.results import failure, success
from heronladder_control.returning_replicas import ReturningReplicas
from heronladder_control.rollouts.orders import RolloutOrders

_IN_FORCE_WAIT_S = 3.0
_APPLY_PATIENCE_S = 3.5
_REGISTER_PATIENCE_S = 0.9
_READ_PATIENCE_S = 1.5


class FleetService:
    """Carries out what operators and replicas ask.

    Args:
        member: What the parts of the member share.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        self._returning = ReturningReplicas(member.environment)
        self._cold_reports = ColdReports(member.environment)
        self._late_orders = LateOrders(member.environment)
        self._spread = HeartbeatSpread(member.environment)
        member.metrics.gauge("heartbeats_moved", lambda: self._spread.moved)
        self._asks = LeaderAsks(member, self.carry)
        self._batches = RegistrationBatches(member)
        self._rollout_orders = RolloutOrders(member)

    # ---- what is asked ----------------------------------------------------

    async def apply(self, configuration: resources_pb2.FleetConfiguration) -> FleetOutcome:
        """Take a whole configuration; done once it is in force."""
        request = control_pb2.CarryRequest(
            in_force_wait_ms=int(_IN_FORCE_WAIT_S * MILLISECONDS_PER_SECOND)
        )
        request.command.apply_configuration.configuration.CopyFrom(configuration)
        order = self._order("configuration", str(configuration.version))
        return await self._asks.ask(request, _APPLY_PATIENCE_S, order)

    async def evacuate(self, zone: str, *, ended: bool) -> FleetOutcome:
        """Evacuate a zone, or take that back; done once it is in force.

        Args:
            zone: The zone.
            ended: Whether its evacuation is taken back.
        """
        zones = self._member.options.zone_names
        if zones and zone not in zones:
            message = f"there is no zone {zone!r}; known: {', '.join(zones)}"
            result = failure(control_pb2.RESULT_CODE_NOT_FOUND, message)
            return FleetOutcome(Standing.REFUSED, result)
        request = control_pb2.CarryRequest(
            in_force_wait_ms=int(_IN_FORCE_WAIT_S * MILLISECONDS_PER_SECOND)
        )
        request.command.set_evacuation.zone = zone
        request.command.set_evacuation.ended = ended
        order = self._order("evacuation", f"{zone} {'ended' if ended else 'begun'}")
        return await self._asks.ask(request, _APPLY_PATIENCE_S, order)

    async def start_rollout(self, service: str, target: str, duration_s: float) -> FleetOutcome:
        """Move a service to a version; done once the order is in force.

        Args:
            service: The service.
            target: The version.
            duration_s: Time within which the version is to take over, in seconds.
        """
        if not self._member.options.rollout_limits.enabled:
            message = "roll-outs are off: no bound is set on what a version on trial may get"
            result = failure(control_pb2.RESULT_CODE_INVALID, message)
            return FleetOutcome(Standing.REFUSED, result)
        request = control_pb2.CarryRequest(
            in_force_wait_ms=int(_IN_FORCE_WAIT_S * MILLISECONDS_PER_SECOND)
        )
        command = request.command.start_rollout
        command.service = service
        command.target = target
        command.duration_ms = int(duration_s * MILLISECONDS_PER_SECOND)
        order = self._order("rollout", f"{service} to {target}")
        return await self._asks.ask(request, _APPLY_PATIENCE_S, order)

    async def read_rollout(self, service: str) -> FleetOutcome:
        """Return a service's newest roll-out, confirmed by a quorum."""
        return await self._asks.ask(
            control_pb2.CarryRequest(read_rollout=service), _READ_PATIENCE_S
        )

    async def read(self) -> FleetOutcome:
        """Return the newest configuration, confirmed by a quorum."""
        return await self._asks.ask(control_pb2.CarryRequest(), _READ_PATIENCE_S)

    async def register(self, replica: resources_pb2.Replica) -> FleetOutcome:
        """Take what a replica tells of itself.

        A replica that leaves is done once the routers in touch know.
        """
        replica = self._as_recorded(replica)
        leaves = replica.draining or replica.gone
        recorded = self._member.state.fleet.replica(replica.id)
        if replica.gone and recorded is not None:
            # It tells no start of its own: it ends the one that is known as it comes, not one
            # that registers while it waits.
            replica.start_ms = recorded.start_ms
        cold_news = self._cold_reports.is_news(replica, recorded)
        # One that leaves is told so only once its leave is in force, however often it asks.
        if self._member.state.fleet.settled(replica) and not leaves and not cold_news:
            return FleetOutcome(Standing.DONE)
        request = control_pb2.CarryRequest()
        order = None
        if leaves:
            order = self._order("leave", replica.id)
            request.in_force_wait_ms = int(_REGISTER_PATIENCE_S * MILLISECONDS_PER_SECOND)
        request.command.register_replica.replica.CopyFrom(replica)
        request.command.register_replica.cold_news = cold_news
        request.command.register_replica.watch_newcomers = (
            self._member.options.rollout_limits.enabled
        )
        return await self._asks.ask(request, _REGISTER_PATIENCE_S, order)

    def _as_recorded(self, replica: resources_pb2.Replica) -> resources_pb2.Replica:
        """Return what the log may hold of a replica: the rest would count as news each time."""
        command = control_pb2.Command()
        command.register_replica.replica.CopyFrom(replica)
        return reduce_to_version(
            command, self._member.state.cluster_version
        ).register_replica.replica

    def unreadable(self, identity: str, why: str) -> None:
        """Note a heartbeat that cannot be used; what is known of its replica stays as it is."""
        self._member.metrics.add("heartbeats_unreadable")
        self._member.log.info("heartbeat_unreadable", step="heartbeat", peer=identity, why=why)

    def heartbeat_address(self, replica: resources_pb2.Replica) -> str:
        """Return where a replica is to send its later heartbeats; "" for anywhere."""
        node = self._member.node
        passed_over = self._spread.passed_over()
        view = SpreadView(
            own=node.name,
            leader=node.leader,
            members=list(node.membership().members),
            replicas=len(self._member.state.resources.resources[REPLICA_KIND]),
            silent_s=self._member.environment.monotonic() - node.last_heard_s,
        )
        address = self._spread.name(replica, view)
        for name in set(self._spread.passed_over()).difference(passed_over):
            self._member.metrics.add("members_passed_over")
            self._member.log.info(
                "member_passed_over", step="heartbeat", peer=name, replica=replica.id
            )
        return address

    # ---- at the leader ----------------------------------------------------

    def _order(self, kind: str, about: str) -> OrderTimes:
        return OrderTimes(kind, about, self._member.environment)

    async def carry(self, request: control_pb2.CarryRequest) -> control_pb2.CarryReply:
        """Carry out a command, or read, as the leader."""
        times = LeaderTimes(self._member.environment)
        try:
            if not request.HasField("command"):
                return await self._read_as_leader(request.read_rollout)
            is_replica = request.command.HasField("register_replica")
            if is_replica and self._is_late(request.command.register_replica):
                return control_pb2.CarryReply(result=success())
            if is_replica and self._names_an_earlier_start(request.command.register_replica):
                return control_pb2.CarryReply(unclear=True)
            if self._is_overtaken(request):
                return control_pb2.CarryReply(unclear=True)
            if request.command.HasField("register_replicas"):
                return await self._register_all(request.command.register_replicas.orders)
            if is_replica:
                result = await self._batches.propose(request.command.register_replica)
            else:
                result = await self._member.propose(request.command)
        except NotLeaderError:
            return control_pb2.CarryReply(not_leader=True)
        except LeadershipLostError:
            return control_pb2.CarryReply(unclear=True)
        reply = control_pb2.CarryReply(result=result, committed_ms=times.now_ms())
        if result.code == control_pb2.RESULT_CODE_OK and request.in_force_wait_ms:
            wait_s = request.in_force_wait_ms / MILLISECONDS_PER_SECOND
            reply.unclear = not await self._wait_in_force(result.revision, wait_s)
            reply.in_force_ms = 0 if reply.unclear else times.now_ms()
        return reply

    async def _register_all(
        self, orders: Iterable[control_pb2.RegisterReplica]
    ) -> control_pb2.CarryReply:
        """Register what a member passed on; each replica has a result of its own."""
        results = await asyncio.gather(*(self._register_one(order) for order in orders))
        reply = control_pb2.CarryReply(result=success())
        reply.result.each.extend(results)
        return reply

    async def _register_one(self, order: control_pb2.RegisterReplica) -> control_pb2.CommandResult:
        if self._is_late(order):
            return success()
        try:
            return await self._batches.propose(order)
        except NotLeaderError as error:
            return failure(control_pb2.RESULT_CODE_NOT_LEADER, str(error))
        except LeadershipLostError as error:
            return failure(control_pb2.RESULT_CODE_UNCLEAR, str(error))

    def _is_late(self, order: control_pb2.RegisterReplica) -> bool:
        """Whether a heartbeat is of a replica whose address another incarnation has.

        If it is proved to run all the same, the order is marked to bring it back.
        """
        if order.replica.gone or not self._member.state.fleet.is_replaced(order.replica):
            return False
        order.returns = self._returning.returns(order.replica)
        self._member.metrics.add("replaced_replicas_heard", "back" if order.returns else "late")
        self._member.log.info(
            "replaced_replica_heard",
            step="register_replica",
            peer=order.replica.id,
            address=order.replica.address,
            sequence=order.replica.sequence,
            returns=order.returns,
        )
        return not order.returns

    def _names_an_earlier_start(self, order: control_pb2.RegisterReplica) -> bool:
        """Whether a deregistration was given an earlier start than the one known here.

        The member that was asked may lag: acknowledged, it would have ended nothing, and the
        replica that left would be sent requests.
        """
        replica = order.replica
        known = self._member.state.fleet.replica(replica.id)
        if not replica.gone or known is None or not is_earlier_incarnation(replica, known):
            return False
        self._member.metrics.add("leaves_of_earlier_starts")
        self._member.log.info(
            "leave_of_earlier_start",
            step="register_replica",
            peer=replica.id,
            start_ms=replica.start_ms,
            known_start_ms=known.start_ms,
        )
        return True

    def _is_overtaken(self, request: control_pb2.CarryRequest) -> bool:
        """Whether an order is older than the newest change of what it is for."""
        if request.command.WhichOneof("body") == "start_rollout":
            return self._rollout_orders.is_overtaken(
                request.command.start_rollout, request.age_ms / MILLISECONDS_PER_SECOND
            )
        if request.command.WhichOneof("body") != "set_evacuation":
            return False
        order = request.command.set_evacuation
        age_s = request.age_ms / MILLISECONDS_PER_SECOND
        is_late = self._late_orders.is_late(order.zone, age_s, self._member.node.term)
        self._member.log.info(
            "evacuation_ordered",
            step="evacuate",
            peer=order.zone,
            ended=order.ended,
            age_s=age_s,
            overtaken=is_late,
            evacuated=self._member.state.evacuations.is_evacuated(order.zone),
        )
        return is_late

    # ---- what was applied -------------------------------------------------

    def begin_term(self) -> None:
        """Begin as the leader."""
        self._late_orders.begin(self._member.node.term)
        self._rollout_orders.begin()

    def applied(self, command: control_pb2.Command, result: control_pb2.CommandResult) -> None:
        """Note a command that was just applied, at any member."""
        body = command.WhichOneof("body")
        if body == "set_evacuation":
            zone = command.set_evacuation.zone
            if result.revision == self._member.state.applied_index:  # else nothing changed
                self._late_orders.changed(zone)
                self._report_evacuation(zone, ended=command.set_evacuation.ended)
        elif body in ("start_rollout", "advance_rollout"):
            self._rollout_orders.applied(command, result)
        elif body == "put_resource" and command.put_resource.kind == EVACUATION_KIND:
            self._late_orders.changed(command.put_resource.resource.metadata.name)
        elif body == "delete_resource" and command.delete_resource.kind == EVACUATION_KIND:
            self._late_orders.changed(command.delete_resource.name)
        elif body == "register_replica":
            self._note_cold(command.register_replica)
        elif body == "register_replicas":
            for order in command.register_replicas.orders:
                self._note_cold(order)

    def _note_cold(self, order: control_pb2.RegisterReplica) -> None:
        recorded = self._member.state.fleet.replica(order.replica.id)
        if recorded is None:
            return
        is_cold_word = recorded.cold_revision == self._member.state.applied_index
        if is_cold_word or not recorded.cold_ms:
            self._cold_reports.known(recorded)
        if (is_cold_word or order.cold_news) and self._member.node.is_leader:
            self._member.metrics.add("cold_reports", "cold" if recorded.cold_ms else "warm")
            self._member.log.info(
                "replica_temperature",
                step="register_replica",
                peer=recorded.id,
                zone=recorded.zone,
                cold_ms=recorded.cold_ms,
                revision=recorded.cold_revision,
                sequence=order.replica.sequence,
            )

    def _report_evacuation(self, zone: str, *, ended: bool) -> None:
        if not self._member.node.is_leader:
            return
        self._member.metrics.add("evacuations", "ended" if ended else "begun")
        self._member.log.info(
            "evacuation_applied",
            step="evacuate",
            peer=zone,
            ended=ended,
            revision=self._member.state.applied_index,
            services_left_without=",".join(
                self._member.state.evacuations.services_without_replicas()
            ),
        )

    async def _read_as_leader(self, rollout_of: str) -> control_pb2.CarryReply:
        await self._member.node.read_barrier()
        reply = control_pb2.CarryReply()
        if rollout_of:
            rollout = self._member.state.rollouts.get(rollout_of)
            if rollout is not None and rollout.target:
                reply.rollout.CopyFrom(rollout)
            return reply
        held = self._member.state.fleet.configuration()
        if held is not None:
            reply.configuration.CopyFrom(held)
        return reply

    async def _wait_in_force(self, revision: int, wait_s: float) -> bool:
        clock = self._member.environment
        deadline_s = clock.monotonic() + wait_s
        while self._member.state.in_force_revision < revision:
            left_s = deadline_s - clock.monotonic()
            if left_s <= 0 or not self._member.node.is_leader:
                return False
            await self._member.in_force_changed.wait(left_s)
        return True
