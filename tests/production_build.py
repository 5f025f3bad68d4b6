"""The build that production runs, taken from the repository's own history."""

import functools
import io
import subprocess
import tarfile
import tempfile
import tomllib
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_PARTS = ("packages", "platform")


class HistoryError(Exception):
    """Production's code is not in the history that is at hand."""


def production_commit() -> str:
    """Return the commit that the deploy file names."""
    document = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text())
    return str(document["production"])


@functools.cache
def _unpacked(commit: str) -> tempfile.TemporaryDirectory[str]:
    archived = subprocess.run(
        ["git", "-C", str(_ROOT), "archive", "--format=tar", commit, *_PARTS],
        capture_output=True,
        check=False,
    )
    if archived.returncode != 0:
        raise HistoryError(
            f"commit {commit} is needed, with the history up to it: {archived.stderr.decode()}"
        )
    folder = tempfile.TemporaryDirectory(prefix="production-")
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
        archive.extractall(folder.name, filter="data")
    return folder


def module_path(commit: str | None = None) -> str:
    """Return a build's packages as a value of PYTHONPATH; production's if none is named."""
    folder = Path(_unpacked(commit or production_commit()).name)
    places = sorted(folder.glob("packages/*/src"))
    return ":".join(str(place) for place in [*places, folder / "platform"])
