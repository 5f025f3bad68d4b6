"""A daemon's link to control: one long stream to the leader of its region.

The link registers the daemon, keeps its freshness lease, takes in the
configuration and carries commands. A command stays pending until it is
answered and is sent again on each new stream; all commands are idempotent.
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
from heronladder_runtime.tasks import TaskGroupOwner

_RECONNECT_PAUSE_S = 0.1


class ControlLink:
    """Keeps a daemon connected to its region's control leader.

    Args:
        record: Who the daemon is.
        addresses: gRPC addresses of the control members.
        stubs: Makes stubs to them.
        heartbeat_interval_s: Time between heartbeats, in seconds.
        handlers: What to do on orders from control.
        environment: Time and randomness.
        acts_past_lease: Whether the daemon goes on by what it holds while control is
            silent; control then waits for it as long as it is heard.
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
        self.standing = ConfigurationStatus(self.configuration, environment, self._log)
        self._tasks = TaskGroupOwner(self._log)
        self._ways = ControlMemberProber(stubs, self._tasks, environment, self._log)
        self._pending: dict[int, PendingCall] = {}
        self._last_call_id = self._heartbeat_number = 0
        self._fresh_until = 0.0
        self._session: LinkSession | None = None
        self._hint = ""
        self._failed = 0  # newest ones in a row that ended without a leader's word
        self._unanswered_streams = 0  # newest ones that were given up before a first word
        self._leaving = False
        self._began_anew = False  # the process goes on under a new incarnation
        self._became_fresh = asyncio.Event()
        self._control_time_ms = 0
        self.last_heard_s = float("-inf")  # newest heartbeat that a leader answered
        self.first_frame_s = float("inf")  # first word on this stream; inf: none yet
        self.reconnected_s = float("-inf")  # end of the newest long silence of control
        self.min_round_trip_s = 0.0  # of the heartbeats on this stream; 0: none yet
        self.round_trip_s = 0.0  # of the newest heartbeat that was acknowledged
        self._late_ms = 0  # of the silence that ended the newest stream
        self.timer_lag_s = 0.0  # how late the timer between heartbeats woke last
        self.routers = 1  # routers that control counts, this one among them
        self.cluster_version = INITIAL_VERSION  # as control told it last; it never falls

    def add_addresses(self, addresses: list[str]) -> None:
        """Learn of further addresses of control members."""
        self._addresses = list(dict.fromkeys([*addresses, *self._addresses]))

    def start(self) -> None:
        """Connect, and stay connected until ``stop``."""
        self._tasks.start("control_link", self._run())

    async def stop(self) -> None:
        """Say that the daemon leaves, then close the stream."""
        self._leaving = True
        self._fresh_until = 0.0  # control counts on a leaving daemon no more
        session = self._session
        if session is not None:
            session.wake.set()
            await asyncio.sleep(_RECONNECT_PAUSE_S)
        await self.abort()

    async def abort(self) -> None:
        """Close the stream at once, saying nothing."""
        await self._tasks.stop()
        for call in self._pending.values():
            call.answer.cancel()

    @property
    def fresh(self) -> bool:
        """Whether the daemon may act on the configuration it holds."""
        leased = self._environment.monotonic() < self._fresh_until
        return leased and self.rejected is None and not self.standing.must_not_act

    @property
    def knows_newest(self) -> bool:
        """Whether nothing newer than what is held can be in force."""
        return self.fresh and not self.standing.behind

    def require_fresh(self) -> None:
        """Check the freshness lease.

        Raises:
            StaleConfigurationError: If it has run out.
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
        """Have a command carried out by control, across changes of leader.

        Args:
            command: The command; it must be idempotent.
            timeout_s: Seconds to wait; None waits for ever.

        Raises:
            PeerUnavailableError: If no answer came in time. The command may
                still be carried out.
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
                peer=self._hint,
            ) from error
        finally:
            self._pending.pop(call_id, None)

    # ---- the stream -------------------------------------------------------

    async def _run(self) -> None:
        attempt = 0
        while self.rejected is None:
            address, connect_time_s = self._hint, 0.0
            if not address:
                address, connect_time_s = await self._ways.choose(
                    self._addresses, attempt, self._failed
                )
            self._hint = ""
            attempt += 1
            try:
                await self._run_session(address, connect_time_s)
            except RPC_ERRORS as error:
                self._failed += 1
                self._report_loss(address, error)
            if not self._hint:
                await asyncio.sleep(self._environment.jitter(_RECONNECT_PAUSE_S))

    def _report_loss(self, address: str, error: BaseException) -> None:
        silent_s = self._environment.monotonic() - self.last_heard_s
        self._log.info(
            "control_lost",
            step="session",
            peer=address,
            silent_s=silent_s,
            late_ms=self._late_ms,
            revision=self.configuration.revision,
            error=repr(error),
        )

    async def _run_session(self, address: str, connect_time_s: float) -> None:
        session = LinkSession(SilenceWatch(self._environment), connect_time_s=connect_time_s)
        self._session = session
        if self._handlers.session_started is not None:
            self._handlers.session_started()
        self._control_time_ms = 0  # another leader's clock says nothing to this one
        self.min_round_trip_s = 0.0  # nor does the way to it
        self.first_frame_s = float("inf")
        stub = self._stubs.control(address, patient=connect_time_s > LONG_CONNECT_TIME_S)
        stream = stub.Session(self._frames(session))
        watchdog = self._tasks.start("watchdog", self._watch_silence(session, stream))
        try:
            async for frame in stream:
                session.note_frame()
                self.first_frame_s = min(self.first_frame_s, self._environment.monotonic())
                self.bytes_received += frame.ByteSize()
                if frame.not_leader:
                    self._hint = frame.leader_address
                    return
                # A member that names the leader is not the leader.
                self._failed = self._unanswered_streams = 0
                if frame.rejected:
                    self._reject(frame.rejected, address)
                    return
                self._take(session, frame)
        except asyncio.CancelledError:
            # gRPC raises this in the reader of a stream that was cancelled here,
            # just as if this task itself were cancelled.
            if not session.cancelled_for_silence:
                raise
            raise TimeoutError("control was silent") from None
        finally:
            watchdog.cancel()
            self._late_ms = session.received.silence().late_ms
            session.closed = True
            session.wake.set()
            self._session = None
            stream.cancel()

    def _reject(self, why: str, address: str) -> None:
        self._log.warning("session_rejected", step="session", peer=address, reason=why)
        self._fresh_until = 0.0
        self._became_fresh.clear()
        if self._handlers.rejected is None:
            self.rejected = SessionRejectedError(why, step="session", peer=address)
            return
        self.record.incarnation = self._handlers.rejected()
        self._began_anew = True

    async def _watch_silence(self, session: LinkSession, stream: object) -> None:
        """Beat at each interval; give the stream up once control has gone silent."""
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
        age_s = 0.0 if self._began_anew else self._environment.process_age_s()
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
            self._heartbeat_number += 1
            session.heartbeat_times[self._heartbeat_number] = self._environment.monotonic()
            frame.heartbeat.number = self._heartbeat_number
            frame.heartbeat.applied_revision = self.configuration.revision
            frame.heartbeat.control_time_ms = self._control_time_ms
            frame.heartbeat.held_below = self.standing.hold_below
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

    def _take(self, session: LinkSession, frame: control_pb2.ControlFrame) -> None:
        self.standing.record_leader_contact()
        if frame.control_addresses:
            self._addresses = list(frame.control_addresses)
        if frame.routers:
            self.routers = frame.routers
        self.cluster_version = max(self.cluster_version, frame.cluster_version)
        if frame.control_time_ms:
            self._control_time_ms = frame.control_time_ms
            self._note_heard()
        if frame.HasField("config") and self._apply_configuration(session, frame.config):
            session.request_heartbeat()  # tells control at once that it is applied
        if frame.in_force_revision or frame.hold_below:
            self._take_standing(session, frame)
        if frame.heartbeat_ack:
            self._renew_freshness(session, frame)
        for answer in frame.answers:
            session.sent_calls.discard(answer.call_id)
            call = self._pending.get(answer.call_id)
            if call is not None and not call.answer.done():
                call.answer.set_result(answer.result)
        dispatch_orders(self._handlers, frame)

    def _apply_configuration(self, session: LinkSession, part: control_pb2.ConfigUpdate) -> bool:
        """Take a part of an update; return whether it was the last one."""
        session.parts_received += 1
        session.wake.set()  # control sends the next part on that word
        update = session.parts.add(part)
        if update is None:
            return False
        try:
            unpacked = unpack(update)
        except ValueError as error:
            raise ConnectionError(str(error)) from error  # another stream sends it anew
        self.configuration.apply(unpacked)
        return True

    def _take_standing(self, session: LinkSession, frame: control_pb2.ControlFrame) -> None:
        age_s = frame.in_force_age_ms / MILLISECONDS_PER_SECOND
        self.standing.record_in_force(frame.in_force_revision, frame.hold_below, age_s)
        if frame.hold_below:
            session.request_heartbeat()  # control waits for the promise

    def _note_heard(self) -> None:
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
        # The lease counts from when the heartbeat was sent, which is earlier
        # than control's own reckoning: the daemon stops first.
        sent = session.heartbeat_times.pop(frame.heartbeat_ack, None)
        if sent is None:
            return
        self.round_trip_s = self._environment.monotonic() - sent
        if self._handlers.replica_limits is not None:
            self._handlers.replica_limits(frame, sent)
        quickest_s = self.min_round_trip_s or self.round_trip_s
        self.min_round_trip_s = min(quickest_s, self.round_trip_s)
        if self._leaving or not frame.freshness_ms:
            return
        until = sent + frame.freshness_ms / MILLISECONDS_PER_SECOND
        self._fresh_until = max(self._fresh_until, until)
        self._became_fresh.set()
