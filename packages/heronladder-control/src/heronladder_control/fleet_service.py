"""Serves the requests of operators and replicas about a fleet, at any member.

A member that is not the leader forwards the command to the leader. All commands are idempotent, so
a caller that got no clear answer may retry at any member.
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
from heronladder_control.evacuations import OvertakenOrders
from heronladder_control.heartbeat_spread import HeartbeatSpread, SpreadView
from heronladder_control.leader_requests import FleetOutcome, LeaderRequests, RequestStatus
from heronladder_control.member_context import MemberContext
from heronladder_control.order_timing import LeaderStageTimer, OrderTiming
from heronladder_control.registration_batches import RegistrationBatches
from heronladder_control.results import failure, success
from heronladder_control.returning_replicas import ReturningReplicas
from heronladder_control.rollouts.orders import RolloutOrders

_IN_FORCE_WAIT_S = 3.0
_APPLY_TIMEOUT_S = 3.5
_REGISTER_TIMEOUT_S = 0.9
_READ_TIMEOUT_S = 1.5


class FleetService:
    """Executes the requests of operators and replicas.

    Args:
        member: What the components of the member share.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        self._returning = ReturningReplicas(member.environment)
        self._cold_reports = ColdReports(member.environment)
        self._overtaken_evacuations = OvertakenOrders(member.environment)
        self._spread = HeartbeatSpread(member.environment)
        member.metrics.gauge("heartbeats_moved", lambda: self._spread.moved)
        self._leader_requests = LeaderRequests(member, self.carry)
        self._batches = RegistrationBatches(member)
        self._rollout_orders = RolloutOrders(member)

    # ---- requests, at any member ------------------------------------------

    async def apply(self, configuration: resources_pb2.FleetConfiguration) -> FleetOutcome:
        """Apply a complete configuration; the request is done once it is in force."""
        request = control_pb2.CarryRequest(
            in_force_wait_ms=int(_IN_FORCE_WAIT_S * MILLISECONDS_PER_SECOND)
        )
        request.command.apply_configuration.configuration.CopyFrom(configuration)
        order = self._order_timing("configuration", str(configuration.version))
        return await self._leader_requests.ask(request, _APPLY_TIMEOUT_S, order)

    async def evacuate(self, zone: str, *, ended: bool) -> FleetOutcome:
        """Start or end the evacuation of a zone; the request is done once it is in force.

        Args:
            zone: Name of the zone.
            ended: Whether its evacuation is ended.
        """
        zones = self._member.options.zone_names
        if zones and zone not in zones:
            message = f"there is no zone {zone!r}; known: {', '.join(zones)}"
            result = failure(control_pb2.RESULT_CODE_NOT_FOUND, message)
            return FleetOutcome(RequestStatus.REFUSED, result)
        request = control_pb2.CarryRequest(
            in_force_wait_ms=int(_IN_FORCE_WAIT_S * MILLISECONDS_PER_SECOND)
        )
        request.command.set_evacuation.zone = zone
        request.command.set_evacuation.ended = ended
        order = self._order_timing("evacuation", f"{zone} {'ended' if ended else 'begun'}")
        return await self._leader_requests.ask(request, _APPLY_TIMEOUT_S, order)

    async def start_rollout(self, service: str, target: str, duration_s: float) -> FleetOutcome:
        """Start the rollout of a version; the request is done once the order is in force.

        Args:
            service: Name of the service.
            target: Version that the service is moved to.
            duration_s: Time within which the version takes over all requests, in seconds.
        """
        if not self._member.options.rollout_limits.enabled:
            message = "rollouts are disabled: no limit is set on the requests of a new version"
            result = failure(control_pb2.RESULT_CODE_INVALID, message)
            return FleetOutcome(RequestStatus.REFUSED, result)
        request = control_pb2.CarryRequest(
            in_force_wait_ms=int(_IN_FORCE_WAIT_S * MILLISECONDS_PER_SECOND)
        )
        command = request.command.start_rollout
        command.service = service
        command.target = target
        command.duration_ms = int(duration_s * MILLISECONDS_PER_SECOND)
        order = self._order_timing("rollout", f"{service} to {target}")
        return await self._leader_requests.ask(request, _APPLY_TIMEOUT_S, order)

    async def read_rollout(self, service: str) -> FleetOutcome:
        """Return a service's newest rollout, confirmed by a quorum."""
        return await self._leader_requests.ask(
            control_pb2.CarryRequest(read_rollout=service), _READ_TIMEOUT_S
        )

    async def read(self) -> FleetOutcome:
        """Return the newest configuration, confirmed by a quorum."""
        return await self._leader_requests.ask(control_pb2.CarryRequest(), _READ_TIMEOUT_S)

    async def register(self, replica: resources_pb2.Replica) -> FleetOutcome:
        """Record a replica's report about itself.

        For a replica that leaves, the request is done once all routers connected to control know.
        """
        replica = self._as_recorded(replica)
        leaves = replica.draining or replica.gone
        recorded = self._member.state.fleet.replica(replica.id)
        if replica.gone and recorded is not None:
            # A deregistration has no start time. It ends the incarnation that is known when it
            # arrives, and not one that registers while it waits.
            replica.start_ms = recorded.start_ms
        cold_news = self._cold_reports.is_update(replica, recorded)
        # A leaving replica gets a success only once its leave is in force, also for a retry.
        if self._member.state.fleet.is_up_to_date(replica) and not leaves and not cold_news:
            return FleetOutcome(RequestStatus.DONE)
        request = control_pb2.CarryRequest()
        order = None
        if leaves:
            order = self._order_timing("leave", replica.id)
            request.in_force_wait_ms = int(_REGISTER_TIMEOUT_S * MILLISECONDS_PER_SECOND)
        request.command.register_replica.replica.CopyFrom(replica)
        request.command.register_replica.cold_news = cold_news
        request.command.register_replica.watch_newcomers = (
            self._member.options.rollout_limits.enabled
        )
        return await self._leader_requests.ask(request, _REGISTER_TIMEOUT_S, order)

    def _as_recorded(self, replica: resources_pb2.Replica) -> resources_pb2.Replica:
        """Return a replica with only the fields that the cluster version lets the log hold.

        Other fields would count as a change in each heartbeat.
        """
        command = control_pb2.Command()
        command.register_replica.replica.CopyFrom(replica)
        return reduce_to_version(
            command, self._member.state.cluster_version
        ).register_replica.replica

    def note_unreadable_heartbeat(self, identity: str, why: str) -> None:
        """Count and log a heartbeat that cannot be parsed; the replica's record is unchanged."""
        self._member.metrics.add("heartbeats_unreadable")
        self._member.log.info("heartbeat_unreadable", step="heartbeat", peer=identity, why=why)

    def heartbeat_address(self, replica: resources_pb2.Replica) -> str:
        """Return the address for a replica's later heartbeats; "" if any member will do."""
        node = self._member.node
        excluded_members = self._spread.excluded_members()
        view = SpreadView(
            own=node.name,
            leader=node.leader,
            members=list(node.membership().members),
            replicas=len(self._member.state.resources.resources[REPLICA_KIND]),
            silent_s=self._member.environment.monotonic() - node.election_timer_reset_s,
        )
        address = self._spread.name(replica, view)
        for name in set(self._spread.excluded_members()).difference(excluded_members):
            self._member.metrics.add("members_passed_over")
            self._member.log.info(
                "member_passed_over", step="heartbeat", peer=name, replica=replica.id
            )
        return address

    # ---- at the leader ----------------------------------------------------

    def _order_timing(self, kind: str, about: str) -> OrderTiming:
        return OrderTiming(kind, about, self._member.environment)

    async def carry(self, request: control_pb2.CarryRequest) -> control_pb2.CarryReply:
        """Execute a command or a read as the leader."""
        stages = LeaderStageTimer(self._member.environment)
        try:
            if not request.HasField("command"):
                return await self._read_as_leader(request.read_rollout)
            is_replica = request.command.HasField("register_replica")
            if is_replica and self._is_from_replaced_replica(request.command.register_replica):
                return control_pb2.CarryReply(result=success())
            if is_replica and self._names_earlier_start(request.command.register_replica):
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
        reply = control_pb2.CarryReply(result=result, committed_ms=stages.now_ms())
        if result.code == control_pb2.RESULT_CODE_OK and request.in_force_wait_ms:
            wait_s = request.in_force_wait_ms / MILLISECONDS_PER_SECOND
            reply.unclear = not await self._wait_in_force(result.revision, wait_s)
            reply.in_force_ms = 0 if reply.unclear else stages.now_ms()
        return reply

    async def _register_all(
        self, orders: Iterable[control_pb2.RegisterReplica]
    ) -> control_pb2.CarryReply:
        """Register the replicas that a member forwarded; each has its own result."""
        results = await asyncio.gather(*(self._register_one(order) for order in orders))
        reply = control_pb2.CarryReply(result=success())
        reply.result.each.extend(results)
        return reply

    async def _register_one(self, order: control_pb2.RegisterReplica) -> control_pb2.CommandResult:
        if self._is_from_replaced_replica(order):
            return success()
        try:
            return await self._batches.propose(order)
        except NotLeaderError as error:
            return failure(control_pb2.RESULT_CODE_NOT_LEADER, str(error))
        except LeadershipLostError as error:
            return failure(control_pb2.RESULT_CODE_UNCLEAR, str(error))

    def _is_from_replaced_replica(self, order: control_pb2.RegisterReplica) -> bool:
        """Return whether a heartbeat is from a replica whose address another one took over.

        If the replica is proved to run nevertheless, the order is marked to make it live again.
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

    def _names_earlier_start(self, order: control_pb2.RegisterReplica) -> bool:
        """Return whether a deregistration names an earlier incarnation than the known one.

        The member that received it may lag behind. If the order were acknowledged, it would have
        ended nothing, and the replica that left would still be sent requests.
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
        """Return whether an order is older than the newest change of the same object."""
        if request.command.WhichOneof("body") == "start_rollout":
            return self._rollout_orders.is_superseded(
                request.command.start_rollout, request.age_ms / MILLISECONDS_PER_SECOND
            )
        if request.command.WhichOneof("body") != "set_evacuation":
            return False
        order = request.command.set_evacuation
        age_s = request.age_ms / MILLISECONDS_PER_SECOND
        is_superseded = self._overtaken_evacuations.is_superseded(
            order.zone, age_s, self._member.node.term
        )
        self._member.log.info(
            "evacuation_ordered",
            step="evacuate",
            peer=order.zone,
            ended=order.ended,
            age_s=age_s,
            overtaken=is_superseded,
            evacuated=self._member.state.evacuations.is_evacuated(order.zone),
        )
        return is_superseded

    # ---- applied commands -------------------------------------------------

    def begin_term(self) -> None:
        """Start a term as the leader."""
        self._overtaken_evacuations.start_term(self._member.node.term)
        self._rollout_orders.start_term()

    def applied(self, command: control_pb2.Command, result: control_pb2.CommandResult) -> None:
        """Process a command that was just applied, at any member."""
        body = command.WhichOneof("body")
        if body == "set_evacuation":
            zone = command.set_evacuation.zone
            if result.revision == self._member.state.applied_index:  # otherwise nothing changed
                self._overtaken_evacuations.note_change(zone)
                self._report_evacuation(zone, ended=command.set_evacuation.ended)
        elif body in ("start_rollout", "advance_rollout"):
            self._rollout_orders.applied(command, result)
        elif body == "put_resource" and command.put_resource.kind == EVACUATION_KIND:
            self._overtaken_evacuations.note_change(command.put_resource.resource.metadata.name)
        elif body == "delete_resource" and command.delete_resource.kind == EVACUATION_KIND:
            self._overtaken_evacuations.note_change(command.delete_resource.name)
        elif body == "register_replica":
            self._note_cold_report(command.register_replica)
        elif body == "register_replicas":
            for order in command.register_replicas.orders:
                self._note_cold_report(order)

    def _note_cold_report(self, order: control_pb2.RegisterReplica) -> None:
        recorded = self._member.state.fleet.replica(order.replica.id)
        if recorded is None:
            return
        is_cold_change = recorded.cold_revision == self._member.state.applied_index
        if is_cold_change or not recorded.cold_ms:
            self._cold_reports.known(recorded)
        if (is_cold_change or order.cold_news) and self._member.node.is_leader:
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
        configuration = self._member.state.fleet.configuration()
        if configuration is not None:
            reply.configuration.CopyFrom(configuration)
        return reply

    async def _wait_in_force(self, revision: int, wait_s: float) -> bool:
        environment = self._member.environment
        deadline_s = environment.monotonic() + wait_s
        while self._member.state.in_force_revision < revision:
            remaining_s = deadline_s - environment.monotonic()
            if remaining_s <= 0 or not self._member.node.is_leader:
                return False
            await self._member.in_force_changed.wait(remaining_s)
        return True
