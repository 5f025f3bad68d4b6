"""Known faults that are put back into a copy of the code, to show that a soak finds them."""

import shutil
from dataclasses import dataclass
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent


@dataclass(frozen=True)
class Tooth:
    """One fault.

    Attributes:
        file: The file that it is put back into, below the root.
        before: Text that is replaced; it must occur once.
        after: Its replacement.
    """

    file: str
    before: str
    after: str


_ROUTER = "packages/heronladder-router/src/heronladder_router"
_RUNTIME = "packages/heronladder-runtime/src/heronladder_runtime"
_DAEMON = "packages/heronladder-daemon/src/heronladder_daemon"
TEETH = {
    # Responses go to aiohttp's parser unchecked (docs/incidents/malformed-responses.md).
    "malformed": Tooth(
        f"{_RUNTIME}/http_client.py", "own = self._framing.feed(data)", "own = data"
    ),
    # The listener ends as soon as balancers have noticed; requests in flight are not waited for.
    "drain": Tooth(
        f"{_ROUTER}/gateway_role.py",
        "await self._wait_until_finished(signalled_s + grace_s)",
        "await self._wait_until_finished(signalled_s)",
    ),
    # The grace that requests in flight have is cut to a half.
    "grace": Tooth(
        f"{_DAEMON}/daemon.py",
        "seconds(self.settings.gateway.gateway_grace_ms) - ",
        "seconds(self.settings.gateway.gateway_grace_ms) / 2 - ",
    ),
    # A silent attempt is given up (docs/incidents/answers-cut-around-a-stop.md).
    "silence": Tooth(
        f"{_ROUTER}/response_forwarding.py",
        "            with attempt.running.silent_after(limit_s, on_late):\n"
        "                chunk = await response.content.readany()\n",
        "            try:\n"
        "                async with __import__('asyncio').timeout(limit_s):\n"
        "                    chunk = await response.content.readany()\n"
        "            except TimeoutError:\n"
        "                raise RunLostError('stream stalled', step='read_stream') from None\n",
    ),
}


def write_faulty_build(name: str, folder: Path) -> str:
    """Copy the packages with one fault put back; return their place, as PYTHONPATH names it.

    Args:
        name: Name of the tooth.
        folder: Where the copy goes.

    Raises:
        ValueError: If the text to replace is not there once.
    """
    tooth = TEETH[name]
    sources = [*sorted(_ROOT.glob("packages/*/src")), _ROOT / "platform"]
    paths = []
    for source in sources:
        target = folder / source.relative_to(_ROOT)
        shutil.copytree(source, target, ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"))
        paths.append(str(target))
    file = folder / tooth.file
    text = file.read_text()
    if text.count(tooth.before) != 1:
        raise ValueError(f"tooth {name}: {text.count(tooth.before)} places in {tooth.file}")
    file.write_text(text.replace(tooth.before, tooth.after))
    return ":".join(paths)


__all__ = ["TEETH", "Tooth", "write_faulty_build"]
