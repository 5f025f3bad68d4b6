"""A soak in which control machines are replaced, disks are lost right after, and keys come and go.

Beside the faults of the first soak: a control machine is replaced as planned (the new one first,
then SIGTERM) or after it was killed for good; right after the next acknowledgement the machine that
gave it loses its disk. Some versions of the configuration hold no key; a caller whose key was never
held asks all the time.
"""

import asyncio
import shutil
from pathlib import Path
from typing import Any

import aiohttp
from process_fleet import ADMIN_PORT, CONTROL, CONTROL_PORT, Machine
from process_soak import Fault, ProcessSoak

_NEVER_HELD = "never-held-key"
_STRANGER = "stranger-"
_STRANGER_EACH_S = 0.05
# A replacement has this time, as the machines of the users; under load it may need longer.
_CATCH_UP_S, _VOTES_WITHIN_S = 4.2, 15.0
_ACKNOWLEDGED_WITHIN_S = 10.0
_FIRST_NEW_ADDRESS = 101
_KEYLESS: tuple[list[dict[str, Any]], ...] = ([], [{"name": "tenant-a", "apiKeys": []}])
_VOTES = "heronladder_may_vote 1.0"


class ReplacementSoak(ProcessSoak):
    """One run.

    Attributes:
        replaced: Number of control machines that were replaced.
        disks_lost: Number of disks lost right after a replacement and an acknowledgement.
    """

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        super().__init__(seed, seconds, folder)
        self.replaced = 0
        self.disks_lost = 0
        self._folder = folder
        self._seeds = [machine.address for machine in self.controls]
        for machine in self._machines:
            machine.seeds = self._seeds
        self._removed: list[Machine] = []
        self._replacing = asyncio.Lock()
        self._holds_keys = False

    # ---- configurations and callers ---------------------------------------

    def _document(self, version: int) -> dict[str, Any]:
        document = super()._document(version)
        if not self._holds_keys and self.replaced and self.source.random() < 0.2:
            document["tenants"] = self.source.choice(_KEYLESS)
        return document

    def _begin_callers(self) -> None:
        super()._begin_callers()
        self.begin(self._ask_without_key())

    async def _ask_without_key(self) -> None:
        number = 0
        while True:
            number += 1
            machine = self.source.choice(self.gateways)
            self.begin(self._ask_as_stranger(machine, f"{_STRANGER}{number}"))
            await asyncio.sleep(_STRANGER_EACH_S)

    async def _ask_as_stranger(self, machine: Machine, request_id: str) -> None:
        headers = {"Authorization": f"Token {_NEVER_HELD}"}
        status, _ = await self._call(machine, "/safe/", request_id, b"", headers)
        if status == 200:
            self.broken.append(f"ROUTE: {request_id} with a key never held got 200")

    # ---- faults -----------------------------------------------------------

    def _faults(self) -> list[tuple[str, Fault]]:
        return [
            *super()._faults(),
            *[("replace a control machine", self._replace_as_planned)] * 3,
            ("replace a killed control machine", self._replace_killed),
            ("stop two control machines", self._stop_two_controls),
        ]

    async def _replace_as_planned(self) -> None:
        if self._replacing.locked():
            return
        async with self._replacing:
            old = self.source.choice(self.controls)
            new = await self._add_machine()
            await asyncio.sleep(_CATCH_UP_S)
            if not await self._votes(new) or not old.is_up:
                return
            await old.stop()
            self._take_out(old)
            await self._lose_disk_after_acknowledgement()

    async def _replace_killed(self) -> None:
        if self._replacing.locked():
            return
        async with self._replacing:
            old = self.source.choice(self.controls)
            old.kill()
            self._take_out(old)
            await asyncio.sleep(self.source.uniform(0.1, 1.0))
            new = await self._add_machine()
            await asyncio.sleep(_CATCH_UP_S)
            await self._votes(new)

    async def _add_machine(self) -> Machine:
        """Start an empty machine at an address of its own; all settings name it as a seed."""
        self.replaced += 1
        net = self.controls[0].address.rpartition(".")[0]
        address = f"{net}.{_FIRST_NEW_ADDRESS + self.replaced}"
        new = Machine(CONTROL, address, f"core-new-{self.replaced}", self._folder, self._seeds)
        new.bootstraps = False
        new.start()
        self.controls.append(new)
        return new

    def _take_out(self, old: Machine) -> None:
        """Have a machine that has ended for good named by nobody any more."""
        old.is_removed = True
        self.controls.remove(old)
        self._removed.append(old)
        self._seeds[:] = [machine.address for machine in self.controls[-3:]]
        for machine in self._machines:
            if machine.is_up:
                machine.write_settings()
                machine.reload()

    async def _votes(self, machine: Machine) -> bool:
        """Wait until a machine votes; whether it does in time."""
        url = f"http://{machine.address}:{ADMIN_PORT}/metrics"
        try:
            async with asyncio.timeout(_VOTES_WITHIN_S):
                while True:
                    try:
                        async with self._session.get(url) as got:
                            if _VOTES in (await got.text()).splitlines():
                                return True
                    except (aiohttp.ClientError, OSError):
                        pass
                    await asyncio.sleep(0.1)
        except TimeoutError:
            return False

    async def _lose_disk_after_acknowledgement(self) -> None:
        giver = await self._acknowledging_machine()
        if giver is None or not all(machine.is_up for machine in self.controls):
            return
        self.disks_lost += 1
        giver.kill()
        shutil.rmtree(giver.data)
        await asyncio.sleep(self.source.uniform(0.1, 1.0))
        giver.start()
        await asyncio.sleep(_CATCH_UP_S)
        await self._votes(giver)  # until then another lost disk would be one too many

    async def _acknowledging_machine(self) -> Machine | None:
        """Have a change acknowledged; return the machine that did."""
        try:
            async with asyncio.timeout(_ACKNOWLEDGED_WITHIN_S):
                while True:
                    machine = self.source.choice(self.controls)
                    self._version += 1
                    version, document = self._version, self._document(self._version)
                    url = f"http://{machine.address}:{CONTROL_PORT}/api/Config.Replace"
                    sent_s = asyncio.get_running_loop().time()
                    try:
                        async with self._session.post(url, json=document) as got:
                            if got.status == 200:
                                self._acked = max(self._acked, version)
                                self.book.changed(sent_s)
                                return machine
                    except (aiohttp.ClientError, OSError):
                        pass
                    await asyncio.sleep(0.05)
        except TimeoutError:
            return None

    async def _stop_two_controls(self) -> None:
        """Stop two at once, at times while one of them is about to be replaced."""
        stopped = self.source.sample(self.controls, 2)
        await asyncio.gather(*(self._stop_and_start(machine) for machine in stopped))

    # ---- the end ----------------------------------------------------------

    async def _be_calm(self) -> None:
        self._holds_keys = True
        async with self._replacing:  # a replacement that has begun is finished
            await super()._be_calm()

    async def _check(self) -> None:
        await super()._check()
        ran = sorted(name for name in self.runs if name.startswith(_STRANGER))
        self.broken.extend(f"ROUTE: {name} ran with a key never held" for name in ran[:5])
        for machine in self._removed:
            self.broken.extend(f"ENDED: {fault}" for fault in machine.faults)
        if not await self._reads_newest():
            self.broken.append(f"LOST: version {self._acked} was acknowledged and is not read")
        self.told = f" replaced={self.replaced} disks_lost={self.disks_lost}"

    async def _reads_newest(self) -> bool:
        for machine in self.controls:
            url = f"http://{machine.address}:{CONTROL_PORT}/api/Config.Describe"
            try:
                async with self._session.get(url) as got:
                    if got.status == 200:
                        document = await got.json(content_type=None)
                        return bool(document["version"] >= self._acked)
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
        return False
