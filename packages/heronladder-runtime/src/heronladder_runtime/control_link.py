"""Link of a daemon to control: one long-lived stream to the leader of its region.

The link registers the daemon, renews its freshness lease, receives the configuration and carries
commands. A command is pending until its result arrives and is sent again on each new stream,
because all commands are idempotent.
"""

import asyncio
from collections.abc import AsyncIterator

from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment, SilenceWatch
from heronladder_runtime.cluster_versions import INITIAL_VERSION, reduce_to_version, require_allowed
from heronladder_runtime.config_packing import unpack
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.configuration_status import ConfigurationStatus
from heronladder_runtime.control_member_prober import LONG_CONNECT_TIME_S, ControlMemberProber
from heronladder_runtime.errors import PeerUnavailableError, StaleConfigurationError
from heronladder_runtime.fleet_membership import FleetMembership
from heronladder_runtime.link_handlers import ControlLinkHandlers
from heronladder_runtime.link_session import (
    LinkSession,
    PendingCall,
    SessionRejectedError,
    hello,
    silence_limit_s,
)
from heronladder_runtime.logs import EventLog
from heronladder_runtime.order_dispatch import dispatch_orders
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_runtime.tasks import TaskGroupOwner, is_cancelled

_RECONNECT_PAUSE_S = 0.1


class ControlLink:
    """Keeps a daemon connected to its region's control leader.

    Args:
        record: Identity of the daemon.
        addresses: gRPC addresses of the control members.
        stubs: Creates stubs for them.
        heartbeat_interval_s: Time between heartbeats, in seconds.
        handlers: Callbacks for orders from control.
        environment: Source of time and randomness.
        acts_past_lease: Whether the daemon acts on the configuration it holds while it is
            disconnected. Control then waits for it as long as it is connected.
    """

    def __init__(
        self,
        record: ledger_pb2.DaemonRecord,
        addresses: list[str],
        stubs: StubFactory,
        heartbeat_interval_s: float,
        handlers: ControlLinkHandlers,
        environment: Environment,
        *,
        acts_past_lease: bool = False,
    ) -> None:
        self.record = record
        self._acts_past_lease = acts_past_lease
        self.configuration = ConfigurationStore(record.name)
        self.rejected: SessionRejectedError | None = None
        self.bytes_sent = self.bytes_received = 0  # messages without the transport's headers
        self._addresses = addresses
        self._stubs = stubs
        self._heartbeat_interval_s = heartbeat_interval_s
        self._handlers = handlers
        self._environment = environment
        self._log = EventLog("control_link", record.name)
        self.configuration_status = ConfigurationStatus(self.configuration, environment, self._log)
        self._tasks = TaskGroupOwner(self._log)
        self._member_prober = ControlMemberProber(stubs, self._tasks, environment, self._log)
        self._pending: dict[int, PendingCall] = {}
        self._last_call_id = self._last_heartbeat_number = 0
        self._fresh_until = 0.0
        self._session: LinkSession | None = None
        self._leader_address = ""
        self._failed_streams = 0  # newest streams in a row without a leader's frame
        self._unanswered_streams = 0  # newest streams in a row closed without any frame
        self._leaving = False
        self._incarnation_replaced = False  # the process continues under a new one
        self._became_fresh = asyncio.Event()
        self._control_time_ms = 0
        self.last_heard_s = float("-inf")  # newest heartbeat response of a leader
        self.first_frame_s = float("inf")  # on this stream; infinite if there is none
        self.reconnected_s = float("-inf")  # end of the newest long disconnection
        self.min_round_trip_s = 0.0  # of heartbeats on this stream; 0 if there is none
        self.round_trip_s = 0.0  # of the newest acknowledged heartbeat
        self._last_loop_lag_ms = 0  # during the silence that ended the newest stream
        self.timer_lag_s = 0.0  # lag of the last timer between two heartbeats
        self.membership = FleetMembership(environment, self._log)
        self.cluster_version = INITIAL_VERSION  # newest one reported; it never falls

    def add_addresses(self, addresses: list[str]) -> None:
        """Add addresses of control members in front of the known ones."""
        self._addresses = list(dict.fromkeys([*addresses, *self._addresses]))

    def start(self) -> None:
        """Connect, and stay connected until ``stop``."""
        self._tasks.keep_running("control_link", self._run, may_end=lambda: bool(self.rejected))

    async def stop(self) -> None:
        """Announce that the daemon leaves, then close the stream."""
        self._leaving = True
        self._fresh_until = 0.0  # control no longer waits for a leaving daemon
        session = self._session
        if session is not None:
            session.wake.set()
            await asyncio.sleep(_RECONNECT_PAUSE_S)
        await self.abort()

    async def abort(self) -> None:
        """Close the stream at once without an announcement."""
        await self._tasks.stop()
        for call in self._pending.values():
            call.answer.cancel()

    @property
    def fresh(self) -> bool:
        """Whether the daemon may act on the configuration it holds."""
        leased = self._environment.monotonic() < self._fresh_until
        return leased and self.rejected is None and not self.configuration_status.must_not_act

    @property
    def knows_newest(self) -> bool:
        """Whether no newer revision than the one held can be in force."""
        return self.fresh and not self.configuration_status.behind

    def require_fresh(self) -> None:
        """Check that the daemon may act on the configuration it holds.

        Raises:
            StaleConfigurationError: If its freshness lease has expired.
        """
        if not self.fresh:
            raise StaleConfigurationError(
                "the configuration could not be confirmed with control in time",
                step="check_freshness",
                peer=self.record.name,
            )

    async def wait_fresh(self) -> None:
        """Wait until the daemon first holds a freshness lease."""
        await self._became_fresh.wait()

    async def call(
        self, command: control_pb2.Command, timeout_s: float | None = None
    ) -> control_pb2.CommandResult:
        """Execute a command at control, across changes of leader.

        Args:
            command: The command; it must be idempotent.
            timeout_s: Longest time to wait, in seconds; None waits indefinitely.

        Raises:
            PeerUnavailableError: If no result arrived in time; the command may still be executed.
            ClusterVersionError: If the cluster version in force does not allow it.
        """
        require_allowed(command, self.cluster_version)
        self._last_call_id += 1
        call_id = self._last_call_id
        answer: asyncio.Future[control_pb2.CommandResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[call_id] = PendingCall(command, answer)
        self._wake()
        try:
            return await asyncio.wait_for(answer, timeout_s)
        except TimeoutError as error:
            raise PeerUnavailableError(
                "control did not answer in time",
                step=command.WhichOneof("body") or "call",
                peer=self._leader_address,
            ) from error
        finally:
            self._pending.pop(call_id, None)

    # ---- the stream -------------------------------------------------------

    async def _run(self) -> None:
        attempt = 0
        while self.rejected is None:
            address, connect_time_s = self._leader_address, 0.0
            if not address:
                address, connect_time_s = await self._member_prober.choose(
                    self._addresses, attempt, self._failed_streams
                )
            self._leader_address = ""
            attempt += 1
            try:
                await self._run_session(address, connect_time_s)
            except RPC_ERRORS as error:
                self._failed_streams += 1
                self._report_loss(address, error)
            if not self._leader_address:
                await asyncio.sleep(self._environment.jitter(_RECONNECT_PAUSE_S))

    def _report_loss(self, address: str, error: BaseException) -> None:
        silent_s = self._environment.monotonic() - self.last_heard_s
        self._log.info(
            "control_lost",
            step="session",
            peer=address,
            silent_s=silent_s,
            late_ms=self._last_loop_lag_ms,
            revision=self.configuration.revision,
            error=repr(error),
        )

    async def _run_session(self, address: str, connect_time_s: float) -> None:
        session = LinkSession(SilenceWatch(self._environment), connect_time_s=connect_time_s)
        self._session = session
        if self._handlers.session_started is not None:
            self._handlers.session_started()
        self._control_time_ms = 0  # not comparable with the clock of another leader
        self.min_round_trip_s = 0.0
        self.first_frame_s = float("inf")
        stub = self._stubs.control(address, slow_connect=connect_time_s > LONG_CONNECT_TIME_S)
        stream = stub.Session(session.log_errors(self._frames(session), self._log))
        watchdog = self._tasks.start("watchdog", self._watch_silence(session, stream))
        try:
            async for frame in stream:
                session.record_frame()
                self.first_frame_s = min(self.first_frame_s, self._environment.monotonic())
                self.bytes_received += frame.ByteSize()
                if frame.not_leader:
                    self._leader_address = frame.leader_address
                    return
                # Frames that redirect to the leader come from a follower and do not reset these.
                self._failed_streams = self._unanswered_streams = 0
                if frame.rejected:
                    self._reject(frame.rejected, address)
                    return
                self._handle_frame(session, frame)
        except asyncio.CancelledError:
            # gRPC also raises this here if only the stream was cancelled.
            if is_cancelled(asyncio.current_task()):
                raise
            raise session.cancellation_error() from None
        finally:
            watchdog.cancel()
            self._last_loop_lag_ms = session.received.silence().late_ms
            session.closed = True
            session.wake.set()
            self._session = None
            stream.cancel()

    def _reject(self, reason: str, address: str) -> None:
        self._log.warning("session_rejected", step="session", peer=address, reason=reason)
        self._fresh_until = 0.0
        self._became_fresh.clear()
        if self._handlers.rejected is None:
            self.rejected = SessionRejectedError(reason, step="session", peer=address)
            return
        self.record.incarnation = self._handlers.rejected()
        self._incarnation_replaced = True

    async def _watch_silence(self, session: LinkSession, stream: object) -> None:
        """Send a heartbeat at each interval; cancel the stream when control is silent too long."""
        limit_s = silence_limit_s(self._heartbeat_interval_s)
        while True:
            due_s = self._environment.monotonic() + self._heartbeat_interval_s
            await asyncio.sleep(self._heartbeat_interval_s)
            self.timer_lag_s = self._environment.monotonic() - due_s
            silence_timeout_s = session.silence_timeout_s(limit_s, self._unanswered_streams)
            if session.received.silence().exceeds(silence_timeout_s):
                session.cancelled_for_silence = True
                self._unanswered_streams += not session.has_frame
                stream.cancel()  # type: ignore[attr-defined]
                return
            session.request_heartbeat()

    async def _frames(self, session: LinkSession) -> AsyncIterator[control_pb2.DaemonFrame]:
        age_s = 0.0 if self._incarnation_replaced else self._environment.process_age_s()
        revision = self.configuration.revision
        first = hello(self.record, revision, age_s, acts_past_lease=self._acts_past_lease)
        yield control_pb2.DaemonFrame(hello=first)
        while not session.closed:
            frame = self._next_frame(session)
            if frame is not None:
                self.bytes_sent += frame.ByteSize()
                yield frame
                if frame.leaving:
                    return
                continue
            session.wake.clear()
            await session.wake.wait()

    def _next_frame(self, session: LinkSession) -> control_pb2.DaemonFrame | None:
        frame = control_pb2.DaemonFrame()
        for call_id, call in self._pending.items():
            if call_id not in session.sent_calls:
                session.sent_calls.add(call_id)
                command = reduce_to_version(call.command, self.cluster_version)
                frame.calls.add(call_id=call_id, command=command)
        if session.heartbeat_due:
            session.heartbeat_due = False
            self._last_heartbeat_number += 1
            session.heartbeat_times[self._last_heartbeat_number] = self._environment.monotonic()
            frame.heartbeat.number = self._last_heartbeat_number
            frame.heartbeat.applied_revision = self.configuration.revision
            frame.heartbeat.control_time_ms = self._control_time_ms
            frame.heartbeat.held_below = self.configuration_status.hold_below
            frame.heartbeat.wall_ms = self._environment.wall_ms()
            if self._handlers.fill_heartbeat is not None:
                self._handlers.fill_heartbeat(frame.heartbeat)
        if session.parts_acknowledged < session.parts_received:
            session.parts_acknowledged = session.parts_received
            frame.parts_received = session.parts_received
        if self._leaving and not self._pending:
            frame.leaving = True
        return frame if frame.ByteSize() else None

    # ---- frames from control ----------------------------------------------

    def send_heartbeat_now(self) -> None:
        """Send a heartbeat without waiting for the next interval."""
        if self._session is not None:
            self._session.request_heartbeat()

    def _wake(self) -> None:
        if self._session is not None:
            self._session.wake.set()

    def _handle_frame(self, session: LinkSession, frame: control_pb2.ControlFrame) -> None:
        self.configuration_status.record_leader_contact()
        if frame.control_addresses:
            self._addresses = list(frame.control_addresses)
        self.membership.record_report(frame)
        self.cluster_version = max(self.cluster_version, frame.cluster_version)
        if frame.control_time_ms:
            self._control_time_ms = frame.control_time_ms
            self._record_heartbeat_response()
        if frame.HasField("config") and self._apply_configuration(session, frame.config):
            session.request_heartbeat()  # reports at once that it is applied
        if frame.in_force_revision or frame.hold_below:
            self._handle_in_force(session, frame)
        if frame.heartbeat_ack:
            self._renew_freshness(session, frame)
        for answer in frame.answers:
            session.sent_calls.discard(answer.call_id)
            call = self._pending.get(answer.call_id)
            if call is not None and not call.answer.done():
                call.answer.set_result(answer.result)
        dispatch_orders(self._handlers, frame)

    def _apply_configuration(self, session: LinkSession, part: control_pb2.ConfigUpdate) -> bool:
        """Add a part of an update; return whether the update is complete and applied."""
        session.parts_received += 1
        session.wake.set()  # control sends the next part after this acknowledgement
        update = session.parts.add(part)
        if update is None:
            return False
        try:
            unpacked = unpack(update)
        except ValueError as error:
            raise ConnectionError(str(error)) from error  # a new stream sends it again
        self.configuration.apply(unpacked)
        return True

    def _handle_in_force(self, session: LinkSession, frame: control_pb2.ControlFrame) -> None:
        age_s = frame.in_force_age_ms / MILLISECONDS_PER_SECOND
        self.configuration_status.record_in_force(frame.in_force_revision, frame.hold_below, age_s)
        if frame.hold_below:
            session.request_heartbeat()  # control waits for the confirmation

    def _record_heartbeat_response(self) -> None:
        now_s = self._environment.monotonic()
        silent_s = now_s - self.last_heard_s
        self.last_heard_s = now_s
        if silent_s <= silence_limit_s(self._heartbeat_interval_s):
            return
        self._log.info("control_regained", step="session", silent_s=silent_s)
        if silent_s == float("inf"):
            return
        self.reconnected_s = now_s
        if self._handlers.control_regained is not None:
            self._handlers.control_regained()

    def _renew_freshness(self, session: LinkSession, frame: control_pb2.ControlFrame) -> None:
        # The lease starts when the heartbeat was sent, before the start that control assumes:
        # the daemon stops before control considers the lease expired.
        sent = session.heartbeat_times.pop(frame.heartbeat_ack, None)
        if sent is None:
            return
        self.round_trip_s = self._environment.monotonic() - sent
        self.membership.confirm(sent)
        if self._handlers.replica_limits is not None:
            self._handlers.replica_limits(frame, sent)
        quickest_s = self.min_round_trip_s or self.round_trip_s
        self.min_round_trip_s = min(quickest_s, self.round_trip_s)
        if self._leaving or not frame.freshness_ms:
            return
        until = sent + frame.freshness_ms / MILLISECONDS_PER_SECOND
        self._fresh_until = max(self._fresh_until, until)
        self._became_fresh.set()
