"""One control member of ``heronladder crowd``: a process that says where its time goes.

Each tenth of a second it writes a line of JSON to standard output: how late its loop is,
how much waits, and, once, when each stage was reached. Every tenth of it a sampler notes the
innermost functions of the project that run, and writes the most frequent ones at the end of
each line's span.
"""

import asyncio
import json
import sys
import threading
import time
from collections import Counter
from pathlib import Path
from types import FrameType

from aiohttp import web
from heronladder_control.leader_requests import RequestStatus
from heronladder_control.member import ControlMember
from heronladder_daemon.daemon import Daemon
from heronladder_runtime.settings import load
from heronladder_schema.v1 import resources_pb2

from heronladder_tools.process_usage import usage

_LOOK_S = 0.1
_SAMPLE_S = 0.005
_TOP = 6  # functions named a line
REGISTER_PATH = "/register"


class _Sampler(threading.Thread):
    """Notes which function of the project the main thread is in."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self._main = threading.main_thread().ident
        self.seen: Counter[str] = Counter()

    def run(self) -> None:
        """Sample until the process ends."""
        while True:
            time.sleep(_SAMPLE_S)
            name = self._running(sys._current_frames().get(self._main or 0))
            if name:
                self.seen[name] += 1

    @staticmethod
    def _running(innermost: FrameType | None) -> str:
        """Return what runs: a function of the project, else of a library; "" at rest."""
        if innermost is None or innermost.f_code.co_name == "select":
            return ""
        frame: FrameType | None = innermost
        while frame is not None and "heronladder_" not in frame.f_code.co_filename:
            frame = frame.f_back
        if frame is None or "heronladder_tools" in frame.f_code.co_filename:
            frame = innermost  # the loop itself, or a library that it called
        return f"{Path(frame.f_code.co_filename).stem}.{frame.f_code.co_name}"

    def take(self) -> list[tuple[str, int]]:
        seen, self.seen = self.seen, Counter()
        return seen.most_common(_TOP)


def _application(member: ControlMember) -> web.Application:
    """Return what replicas speak with: a heartbeat in, where to send later ones out."""

    async def register(request: web.Request) -> web.Response:
        replica = resources_pb2.Replica.FromString(await request.read())
        outcome = await member.fleet_service.register(replica)
        status = 200 if outcome.request_status is RequestStatus.DONE else 503
        return web.Response(status=status, text=member.fleet_service.heartbeat_address(replica))

    application = web.Application()
    application.router.add_post(REGISTER_PATH, register)
    return application


async def run_member(folder: Path, number: int) -> None:
    """Run a member from the settings that the rig left in its folder, until it is killed."""
    began_s = time.time()
    sampler = _Sampler()
    sampler.start()
    document = json.loads((folder / "members.json").read_text())
    flags = document["flags"][number]
    daemon = Daemon(load(flags, {}))
    await daemon.start()
    member = daemon.control
    assert member is not None
    await daemon.listen(_application(member), document["replicas"][number])
    stages = {"up": began_s, "log_read": time.time()}
    while True:
        due_s = time.monotonic() + _LOOK_S
        await asyncio.sleep(_LOOK_S)
        _note_stages(member, stages)
        line = {
            "t": time.time(),
            "late_ms": round((time.monotonic() - due_s) * 1000),
            "cpu_s": usage().cpu_s,
            "mb": round(usage().resident_mb),
            "leads": member.node.is_leader,
            "tasks": len(asyncio.all_tasks()),
            "waiting": len(member.node._waiters),
            "behind": len(member.in_force.lagging_daemons(member.state.resources.revision)),
            "streams": len(member.sessions),
            "index": member.node.applied_index,
            "revision": member.state.resources.revision,
            "in_force": member.state.in_force_revision,
            "replicas": len(member.state.resources.resources["replica"]),
            "stages": stages,
            "top": sampler.take(),
        }
        print(json.dumps(line), flush=True)


def _note_stages(member: ControlMember, stages: dict[str, float]) -> None:
    if member.node.leader:
        stages.setdefault("leader", time.time())
    if member.node.is_leader and member.node.commit_index >= member.node._term_first_index:
        stages.setdefault("first_commit", time.time())
    if member.prepaid_watch.term == member.node.term:
        stages.setdefault("chores", time.time())
    if member.sessions:
        stages.setdefault("first_stream", time.time())
