"""Confirmations: what a router had at a restarted agent is settled.

When a router is lost, control frees what is left in its leases once every agent
has spoken. An agent that restarted may have forgotten runs of that router, so
the rest would have to stay charged. A router that goes on after an agent's
restart therefore settles what it had there and says so: from then on nothing
can have been forgotten.
"""

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import PeerUnavailableError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import control_pb2

from heronladder_router.leases import Reservation

_CALL_TIMEOUT_S = 5.0

ReservationKey = tuple[int, int]  # lease id, sequence
AgentKey = tuple[str, str]  # name, incarnation


class OpenAttempts:
    """Reservations under which something may have run, by the agent's incarnation."""

    def __init__(self) -> None:
        self._agents: dict[ReservationKey, AgentKey] = {}
        self.closed = ChangeSignal()

    def open(self, reservation: Reservation, agent: str, incarnation: str) -> None:
        """Note that an attempt under a reservation goes to an agent."""
        self._agents[reservation.lease_id, reservation.sequence] = (agent, incarnation)

    def close(self, reservation: Reservation) -> None:
        """Note that a reservation's settlement is durable."""
        if self._agents.pop((reservation.lease_id, reservation.sequence), None) is not None:
            self.closed.notify_waiters()

    async def wait_all_closed(self, opened: list[ReservationKey]) -> None:
        """Wait until all of some reservations are settled."""
        while any(key in self._agents for key in opened):
            await self.closed.wait()

    def all_open(self) -> list[ReservationKey]:
        """Return the reservations that are not settled."""
        return list(self._agents)

    def any_earlier(self, agent: str, incarnation: str) -> bool:
        """Whether an attempt at another incarnation of an agent is not settled."""
        return any(name == agent and known != incarnation for name, known in self._agents.values())


class ConfirmationKeeper:
    """Tells control when nothing is open at earlier incarnations of an agent.

    Args:
        link: The router's link to control.
        attempts: What is open.
        log: Where events are reported.
    """

    def __init__(self, link: ControlLink, attempts: OpenAttempts, log: EventLog) -> None:
        self._link = link
        self._attempts = attempts
        self._tasks = TaskGroupOwner(log)
        self._known: dict[str, str] = {}

    def notice(self, notice: control_pb2.DaemonNotice) -> None:
        """Take in control's word on an agent; begin to confirm a restart."""
        if notice.gone:
            return
        earlier = self._known.get(notice.name)
        self._known[notice.name] = notice.incarnation
        if earlier is not None and earlier != notice.incarnation:
            self._tasks.start(
                f"confirm-{notice.name}", self._confirm(notice.name, notice.incarnation)
            )

    async def _confirm(self, agent: str, incarnation: str) -> None:
        while self._attempts.any_earlier(agent, incarnation):
            await self._attempts.closed.wait()
        command = control_pb2.Command()
        command.confirm_agent.router = self._link.record.name
        command.confirm_agent.router_incarnation = self._link.record.incarnation
        command.confirm_agent.agent = agent
        command.confirm_agent.agent_incarnation = incarnation
        while self._known.get(agent) == incarnation:
            try:
                await self._link.call(command, _CALL_TIMEOUT_S)
                return
            except PeerUnavailableError:
                continue

    def incarnation_ended(self, incarnation: str) -> None:
        """Confirm an earlier incarnation of this router once all it had is settled."""
        opened = self._attempts.all_open()
        self._tasks.start("confirm_settled", self._confirm_settled(incarnation, opened))

    async def _confirm_settled(self, incarnation: str, opened: list[ReservationKey]) -> None:
        await self._attempts.wait_all_closed(opened)
        await self._link.call(self._settled_command(incarnation))

    def _settled_command(self, incarnation: str) -> control_pb2.Command:
        command = control_pb2.Command()
        command.confirm_settled.router = self._link.record.name
        command.confirm_settled.router_incarnation = incarnation
        return command

    async def confirm_stop(self) -> None:
        """Confirm this incarnation at its planned stop, if nothing is left open."""
        if not self._attempts.all_open():
            await self._link.call(self._settled_command(self._link.record.incarnation))

    async def stop(self) -> None:
        """End all tasks."""
        await self._tasks.stop()
