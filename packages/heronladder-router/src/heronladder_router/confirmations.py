"""Confirmations to control that all attempts at an earlier incarnation of an agent are settled.

When a router is lost, control releases the rest of its leases once every agent has reported
the attempts that it ran for that router. An agent that restarted may have lost records of such
attempts, so the rest of the leases would have to stay charged. A router that survives the
restart of an agent therefore settles its attempts at the earlier incarnation and confirms this
to control: after that, the restart cannot have hidden any attempt.
"""

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import PeerUnavailableError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import control_pb2

from heronladder_router.leases import Reservation

_CALL_TIMEOUT_S = 5.0

ReservationKey = tuple[int, int]  # lease id, sequence number
AgentKey = tuple[str, str]  # name, incarnation


class OpenAttempts:
    """Reservations under which a request may have run, with the agent's incarnation.

    Attributes:
        closed: Pulse that is given whenever a reservation is settled.
    """

    def __init__(self) -> None:
        self._agents_by_reservation: dict[ReservationKey, AgentKey] = {}
        self.closed = ChangeSignal()

    def open(self, reservation: Reservation, agent: str, incarnation: str) -> None:
        """Record that an attempt under a reservation is sent to an agent."""
        self._agents_by_reservation[reservation.lease_id, reservation.sequence] = (
            agent,
            incarnation,
        )

    def close(self, reservation: Reservation) -> None:
        """Record that the settlement of a reservation is durable."""
        if (
            self._agents_by_reservation.pop((reservation.lease_id, reservation.sequence), None)
            is not None
        ):
            self.closed.notify_waiters()

    async def wait_all_closed(self, opened: list[ReservationKey]) -> None:
        """Wait until all the given reservations are settled."""
        while any(key in self._agents_by_reservation for key in opened):
            await self.closed.wait()

    def open_reservations(self) -> list[ReservationKey]:
        """Return the reservations that are not settled yet."""
        return list(self._agents_by_reservation)

    def has_open_at_earlier_incarnation(self, agent: str, incarnation: str) -> bool:
        """Return whether an attempt at another incarnation of an agent is not settled.

        Args:
            agent: Name of the agent.
            incarnation: Current incarnation of the agent.
        """
        return any(
            name == agent and known != incarnation
            for name, known in self._agents_by_reservation.values()
        )


class ConfirmationSender:
    """Confirms to control that no attempt is open at earlier incarnations of an agent.

    It also confirms that all attempts of an earlier incarnation of the router are settled.

    Args:
        link: The router's link to control.
        attempts: Attempts that are not settled yet.
        log: Event log for failures of background tasks.
    """

    def __init__(self, link: ControlLink, attempts: OpenAttempts, log: EventLog) -> None:
        self._link = link
        self._attempts = attempts
        self._tasks = TaskGroupOwner(log)
        self._agent_incarnations: dict[str, str] = {}

    def notice(self, notice: control_pb2.DaemonNotice) -> None:
        """Process an update from control on an agent; confirm if the agent has restarted."""
        if notice.gone:
            return
        earlier = self._agent_incarnations.get(notice.name)
        self._agent_incarnations[notice.name] = notice.incarnation
        if earlier is not None and earlier != notice.incarnation:
            self._tasks.start(
                f"confirm-{notice.name}", self._confirm(notice.name, notice.incarnation)
            )

    async def _confirm(self, agent: str, incarnation: str) -> None:
        while self._attempts.has_open_at_earlier_incarnation(agent, incarnation):
            await self._attempts.closed.wait()
        command = control_pb2.Command()
        command.confirm_agent.router = self._link.record.name
        command.confirm_agent.router_incarnation = self._link.record.incarnation
        command.confirm_agent.agent = agent
        command.confirm_agent.agent_incarnation = incarnation
        while self._agent_incarnations.get(agent) == incarnation:
            try:
                await self._link.call(command, _CALL_TIMEOUT_S)
                return
            except PeerUnavailableError:
                continue

    def incarnation_ended(self, incarnation: str) -> None:
        """Confirm an ended incarnation of this router once all its attempts are settled.

        The confirmation is sent by a background task.

        Args:
            incarnation: Incarnation of this router that has ended.
        """
        opened = self._attempts.open_reservations()
        self._tasks.start("confirm_settled", self._confirm_settled(incarnation, opened))

    async def _confirm_settled(self, incarnation: str, opened: list[ReservationKey]) -> None:
        await self._attempts.wait_all_closed(opened)
        await self._link.call(self._settled_command(incarnation))

    def _settled_command(self, incarnation: str) -> control_pb2.Command:
        command = control_pb2.Command()
        command.confirm_settled.router = self._link.record.name
        command.confirm_settled.router_incarnation = incarnation
        return command

    async def confirm_planned_stop(self) -> None:
        """Confirm the current incarnation at a planned stop, unless an attempt is still open."""
        if not self._attempts.open_reservations():
            await self._link.call(self._settled_command(self._link.record.incarnation))

    async def stop(self) -> None:
        """Cancel all background tasks."""
        await self._tasks.stop()
