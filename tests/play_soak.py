"""Plays seeds of the fault soak over the real programs.

Usage: ``python tests/play_soak.py --seeds 1-50 --seconds 20 [KIND] [--keep FOLDER]``, KIND being
``--wide``, ``--signals``, ``--versions``, ``--upgrade``, ``--same-build``, ``--stops``,
``--malformed`` or ``--replacements``.
"""

import argparse
import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

from malformed_soak import MalformedSoak
from process_soak import ProcessSoak
from replacement_soak import ReplacementSoak
from same_build_soak import SameBuildSoak
from signal_soak import SignalSoak
from soak_teeth import TEETH, write_faulty_build
from stop_soak import StopSoak
from upgrade_soak import UpgradeSoak
from version_soak import VersionSoak
from wide_soak import WideSoak


def play(
    seed: int,
    seconds: float,
    keep: Path | None = None,
    kind: type[ProcessSoak] = ProcessSoak,
    gateway_build: str = "",
) -> ProcessSoak:
    """Play a run; keep the files of its processes if something did not hold.

    Args:
        seed: Draws the faults and what callers do.
        seconds: How long faults come.
        keep: Where files of a failed run go.
        kind: Kind of soak.
        gateway_build: Where packages of gateways lie, as PYTHONPATH; empty: this build's.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = kind(seed, seconds, folder)
    for gateway in soak.gateways:
        gateway.module_path = gateway_build or gateway.module_path
    try:
        asyncio.run(soak.run())
        if soak.broken and keep is not None:
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    finally:
        shutil.rmtree(folder)
    return soak


def _kind(options: argparse.Namespace) -> type[ProcessSoak]:
    kinds = {
        WideSoak: options.wide,
        SignalSoak: options.signals,
        VersionSoak: options.versions,
        UpgradeSoak: options.upgrade,
        SameBuildSoak: options.same_build,
        StopSoak: options.stops,
        MalformedSoak: options.malformed,
        ReplacementSoak: options.replacements,
    }
    return next((kind for kind, is_asked in kinds.items() if is_asked), ProcessSoak)


def main() -> int:
    """Play seeds from the command line; return how many broke something."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-50", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--keep", type=Path, help="where files of failed runs go")
    parser.add_argument("--wide", action="store_true", help="streams, prepaid tokens, lost disks")
    parser.add_argument("--signals", action="store_true", help="replicas ask for back-off, leave")
    parser.add_argument("--versions", action="store_true", help="versions, parts that crash")
    parser.add_argument("--upgrade", action="store_true", help="production's build is replaced")
    parser.add_argument("--same-build", action="store_true", help="this build replaces itself")
    parser.add_argument("--stops", action="store_true", help="planned stops, slow responses")
    parser.add_argument("--malformed", action="store_true", help="malformed responses")
    parser.add_argument("--replacements", action="store_true", help="control machines, keys")
    parser.add_argument("--tooth", choices=sorted(TEETH), help="a known fault is put back")
    options = parser.parse_args()
    build = Path(tempfile.mkdtemp(prefix="build-")) if options.tooth else None
    try:
        return _play_seeds(options, write_faulty_build(options.tooth, build) if build else "")
    finally:
        if build is not None:
            shutil.rmtree(build)


def _play_seeds(options: argparse.Namespace, gateway_build: str) -> int:
    first, _, last = options.seeds.partition("-")
    failed = 0
    kind = _kind(options)
    for seed in range(int(first), int(last or first) + 1):
        soak = play(seed, options.seconds, options.keep, kind, gateway_build)
        failed += bool(soak.broken)
        print(
            f"seed {seed}: {'BROKEN' if soak.broken else 'held'}"
            f" faults={len(soak.injected)} statuses={dict(sorted(soak.statuses.items()))}"
            f" crashed={len(soak.crashed_s)} recovered_s={soak.recovered_s:.1f}{soak.told}",
            *soak.broken[:10],
            sep="\n  ",
            flush=True,
        )
    return failed


if __name__ == "__main__":
    sys.exit(main())
