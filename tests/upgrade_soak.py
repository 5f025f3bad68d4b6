"""The fault soak in which production's build is replaced by this one, machine by machine.

Tenants pay for tokens, callers keep their connections, and requests crash replicas meanwhile. The
seed draws the order in which machines are replaced, and which faults come beside.
"""

import asyncio
from pathlib import Path

from process_fleet import Machine
from process_soak import Fault
from production_build import module_path
from wide_soak import WideSoak

_BUILD_ON_S = 2.0  # of production's build alone, and of the mixture once it is whole
_GAP_S = 1.0  # between two replacements
_IN_TWO_REGIONS = 0.3  # of the seeds
_CONTRACTS = ("rollout",)
_ORDERS = ("drawn", "gateways first", "control first", "leader last", "two at once", "back and on")
_CRASHES_PROVE = 3  # crashes under a request until it is refused
_KNOWN_AFTER_S = 3.0
_RAISED_WITHIN_S = 20.0  # of the last replacement
_RAISED = "event=cluster_version_raised"
_LOOK_S = 0.2
_RESTART_S = 0.7  # of the platform, for a process that ended


class UpgradeSoak(WideSoak):
    """One run, as the wider one.

    Attributes:
        order: In which order machines are replaced.
        raised_s: When a leader had raised the cluster version; None: none did.
    """

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        super().__init__(seed, seconds, folder)
        self.order = self.source.choice(_ORDERS)
        self.raised_s: float | None = None
        self.injected.append(self.order)
        if self.source.random() < _IN_TWO_REGIONS:
            self._stretch()
        for machine in self._machines:
            machine.contracts = list(_CONTRACTS)
            machine.module_path = self._build_before()

    def _stretch(self) -> None:
        """Have every second machine stand in another region."""
        self.injected.append("two regions")
        for machine in self._machines:
            machine.zones = {"z1": "r1", "z2": "r2"}
        for machine in [*self.controls[::2], *self.gateways[::2]]:
            machine.zone = "z2"

    @staticmethod
    def _build_before() -> str:
        """Return the module path of the build that is replaced; empty: this build."""
        return module_path()

    def _begin_callers(self) -> None:
        super()._begin_callers()
        self.begin(self._watch_version())
        self.begin(self._supervise())

    async def _supervise(self) -> None:
        """Start whatever ended by itself again, as the platform does; it is noted as a fault."""
        while True:
            for machine in self._machines:
                known = len(machine.faults)
                machine.look()
                if len(machine.faults) > known:
                    machine.start()
            await asyncio.sleep(_RESTART_S)

    async def _watch_version(self) -> None:
        while not any(_RAISED in machine.output() for machine in self.controls):
            await asyncio.sleep(_LOOK_S)
        self.raised_s = asyncio.get_running_loop().time()

    # ---- replacements -----------------------------------------------------

    async def _inject(self) -> None:
        await asyncio.sleep(_BUILD_ON_S)
        faults = asyncio.create_task(super()._inject()) if self._seconds else None
        for group in self._groups():
            await asyncio.gather(*(self._replace_build(machine) for machine in group))
            await asyncio.sleep(_GAP_S)
        if faults is not None:
            await faults
        await asyncio.sleep(_BUILD_ON_S)

    def _groups(self) -> list[list[Machine]]:
        """Return the machines in the order of their replacement, each group at once."""
        gateways = self.source.sample(self.gateways, len(self.gateways))
        controls = self.source.sample(self.controls, len(self.controls))
        machines = [*gateways, *controls]
        if self.order == "control first":
            machines = [*controls, *gateways]
        elif self.order != "gateways first":
            self.source.shuffle(machines)
        if self.order == "leader last":
            machines.sort(key=self._leads)
        if self.order == "two at once":
            return self._in_pairs(machines)
        if self.order == "back and on":
            machines = [*machines[:3], *machines[:3], *machines]
        return [[machine] for machine in machines]

    @staticmethod
    def _leads(machine: Machine) -> bool:
        return "event=leader_elected" in machine.output()

    @staticmethod
    def _in_pairs(machines: list[Machine]) -> list[list[Machine]]:
        """Pair machines, but never two control members: one may be lost at a time."""
        controls = [machine for machine in machines if machine.role == "control"]
        gateways = [machine for machine in machines if machine.role != "control"]
        return [list(pair) for pair in zip(controls, gateways, strict=True)]

    async def _replace_build(self, machine: Machine) -> None:
        while not machine.is_up:  # a fault has it, or it is started again
            await asyncio.sleep(_LOOK_S)
        await machine.stop()
        machine.module_path = "" if machine.module_path else self._build_before()
        machine.start()

    def _faults(self) -> list[tuple[str, Fault]]:
        kept = ("kill a gateway", "kill a control member", "crash a replica", "drain a replica")
        return [(name, fault) for name, fault in super()._faults() if name in kept]

    async def _be_calm(self) -> None:
        """Judge once the version is raised: until then requests crash replicas without an end."""
        for machine in self._machines:
            machine.go_on()
        try:
            async with asyncio.timeout(_RAISED_WITHIN_S):
                while self.raised_s is None:
                    await asyncio.sleep(_LOOK_S)
            await asyncio.sleep(_KNOWN_AFTER_S)
        except TimeoutError:
            pass  # told by the check
        await super()._be_calm()

    # ---- what has to hold -------------------------------------------------

    async def _check(self) -> None:
        await super()._check()
        if self.raised_s is None:
            self.broken.append("VERSION: it was not raised once all machines had been replaced")
        self.told += f" order={self.order!r}"

    def _check_crashing(self) -> None:
        """Judge from when the version was raised: production's build refuses no such request."""
        raised_s = self.raised_s
        if raised_s is None:
            return
        crashed_s = [moment_s for moment_s in self.crashed_s if moment_s > raised_s]
        if len(crashed_s) < _CRASHES_PROVE:
            return
        known_s = max(crashed_s[_CRASHES_PROVE - 1], self._calm_from_s) + _KNOWN_AFTER_S
        late = sum(1 for moment_s in self.crashing_s if moment_s > known_s)
        if late:
            self.broken.append(f"CRASHING: sent {late} times, {len(crashed_s)} ended")
