"""Test support: a group of control members on loopback whose members can be restarted."""

import asyncio
import tempfile
from pathlib import Path
from random import Random

from heronladder_daemon.daemon import Daemon
from heronladder_platform import settings as platform_settings
from heronladder_platform.control_api import ControlApi
from heronladder_runtime.cluster_versions import LATEST_VERSION
from heronladder_runtime.settings import DaemonSettings
from heronladder_tools.demo_fleet import free_addresses
from platform_stand_ins import settings_document, with_rollouts

_ADDRESSES_PER_MEMBER = 4  # gRPC, resource API, metrics, and the API for operators and replicas
_START_TIMEOUT_S = 15.0
_CHECK_INTERVAL_S = 0.02


class ControlGroup:
    """Control members that form a group at their first start.

    Args:
        size: Number of members.
        has_rollouts: Whether rollouts are enabled.

    Attributes:
        grpc: gRPC addresses, by member number.
        operators: Addresses of the API for operators and replicas, by member number.
        running: Daemons of running members, by member number.
    """

    def __init__(self, size: int, *, has_rollouts: bool = False) -> None:
        self._has_rollouts = has_rollouts
        addresses = free_addresses(size * _ADDRESSES_PER_MEMBER)
        self.grpc = addresses[:size]
        self.operators = addresses[size : 2 * size]
        self._api = addresses[2 * size : 3 * size]
        self._admin = addresses[3 * size :]
        self.running: dict[int, Daemon] = {}
        self._folder = tempfile.TemporaryDirectory()

    @property
    def size(self) -> int:
        """Number of members, running or not."""
        return len(self.grpc)

    @property
    def has_quorum(self) -> bool:
        """Whether more than half of the members are running."""
        return 2 * len(self.running) > self.size

    @property
    def leader(self) -> int | None:
        """Number of the member that is the leader; None if there is none."""
        for number, daemon in self.running.items():
            if daemon.control is not None and daemon.control.node.is_leader:
                return number
        return None

    def some_operators_address(self, source: Random) -> str:
        """Return the API address of a random running member, or of any member if none runs."""
        return self.operators[source.choice(sorted(self.running) or range(self.size))]

    async def start(self) -> None:
        """Start all members; wait for a leader and for the cluster version at all members."""
        for number in range(self.size):
            await self.start_member(number)
        async with asyncio.timeout(_START_TIMEOUT_S):
            while self.leader is None or not self._is_version_in_force:
                await asyncio.sleep(_CHECK_INTERVAL_S)

    @property
    def _is_version_in_force(self) -> bool:
        members = [daemon.control for daemon in self.running.values()]
        versions = {member.state.cluster_version for member in members if member is not None}
        return versions == {LATEST_VERSION}

    async def start_member(self, number: int) -> None:
        """Start a member, with the data of its earlier run if there is one."""
        daemon = Daemon(self._settings(number))
        await daemon.start()
        assert daemon.control is not None
        application = ControlApi(daemon.control.fleet_service).application()
        await daemon.listen(application, self.operators[number])
        self.running[number] = daemon

    async def end_member(self, number: int, *, planned: bool) -> None:
        """Stop a member gracefully (planned) or abort it."""
        daemon = self.running.pop(number)
        await (daemon.stop() if planned else daemon.abort())

    async def stop(self) -> None:
        """Abort all members and delete their data."""
        for number in list(self.running):
            await self.end_member(number, planned=False)
        self._folder.cleanup()

    def _settings(self, number: int) -> DaemonSettings:
        name = f"core-{number}"
        folder = Path(self._folder.name) / name
        folder.mkdir(exist_ok=True)
        listen = {"control": self.operators[number]}
        document = settings_document("core", str(folder), 1, listen) | {"seeds": self.operators}
        document["faultTolerance"] = {"machines": (self.size - 1) // 2}
        if self._has_rollouts:
            document = with_rollouts(document)
        settings = platform_settings.translate(document, platform_settings.CONTROL)
        settings.common.name = name
        settings.common.control_addresses = ",".join(self.grpc)
        settings.common.admin_listen = self._admin[number]
        settings.control.control_listen = self.grpc[number]
        settings.control.api_listen = self._api[number]
        settings.control.initial_members = ",".join(
            f"core-{other}={grpc}/{operators}"
            for other, (grpc, operators) in enumerate(zip(self.grpc, self.operators, strict=True))
        )
        settings.control.join_contacts = ",".join(self.grpc)
        return settings
