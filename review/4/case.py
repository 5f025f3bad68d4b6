"""The operator takes away the last keys that any tenant has; then clients use keys."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from fleet_2 import CouldNotRunError, Fleet, Record, Replica, call, has_trouble, play, serve_plainly

SERVICE, HOST, PREFIX = "preorden-app", "ficu95.example", "/puxa403/"
FIRST_KEY, SECOND_KEY, NEVER_HELD = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk", "never-held-key"
REQUESTS = 10


def configuration(version: int, keys: list[str]) -> dict[str, object]:
    """Return a configuration with one tenant, as on the page PROTOCOL."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-hvz3pfi",
                "host": HOST,
                "pathPrefix": PREFIX,
                "kind": "unsafe",
                "timeoutMs": 4000,
                "targetLatencyMs": 400,
                "priority": 2,
                "service": SERVICE,
                "maxAttempts": 1,
                "allowAnonymous": False,
            }
        ],
        "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConnections": 96}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": keys, "priority": 1}],
    }


async def play_case(fleet: Fleet, record: Record) -> bool:
    """Return whether no request ran whose key is not held."""
    await fleet.start()
    await fleet.replace(configuration(1, [FIRST_KEY, SECOND_KEY]))
    replica = Replica(fleet, "i-1", SERVICE, "127.0.0.1", "heredia", serve_plainly, slots=6)
    await replica.start()
    await fleet.wait_ready()

    async def ask(request_id: str, key: str) -> int:
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": 4000,
            "Authorization": f"Token {key}",
        }
        front = fleet.fronts[0].listen["front"]
        got = await call(front, "POST", f"{PREFIX}2f", headers, b"order", 4.0)
        status = got.status if got is not None else 0
        record.write(f"client: {request_id} with key {key}: {status}")
        return status

    for number in range(50):
        if await ask(f"first-{number}", FIRST_KEY) == 200:
            break
        await asyncio.sleep(0.2)
    else:
        raise CouldNotRunError("no request was served with a held key")
    if await ask("stranger-before", NEVER_HELD) != 401:
        raise CouldNotRunError("a key that was never held was not refused before the change")

    # One key is taken away, and 1.5 s later the other one; without trouble it stays.
    await fleet.replace(configuration(2, [SECOND_KEY]))
    await asyncio.sleep(1.5)
    await fleet.replace(configuration(3, [] if has_trouble() else [SECOND_KEY]))
    await asyncio.sleep(fleet.bounds["revokeMs"] / 1000 + 2.0)
    for number in range(REQUESTS):
        await ask(f"stranger-{number}", NEVER_HELD)
        await ask(f"revoked-{number}", FIRST_KEY)
        await asyncio.sleep(0.1)
    strangers = [run for run in replica.runs if run.request_id.startswith("stranger")]
    revoked = [run for run in replica.runs if run.request_id.startswith("revoked")]
    record.write(f"ROUTE: run with a key that no configuration ever held: {len(strangers)}")
    record.write(f"CONFIG: run with a key taken away over 7 s before: {len(revoked)}")
    return not strangers and not revoked


play(str(HERE), play_case, controls=3, fronts=1)
