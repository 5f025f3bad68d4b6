"""Calls of operators and replicas to control, as a stand-in makes them."""

import json

import aiohttp

NO_ANSWER = 503


async def tell(session: aiohttp.ClientSession, address: str, path: str, body: object) -> int:
    """Make a call; return its status, 503 if there is no answer."""
    data = json.dumps(body).encode()
    try:
        async with session.post(f"http://{address}{path}", data=data) as got:
            await got.read()
            return got.status
    except (aiohttp.ClientError, TimeoutError, OSError):
        return NO_ANSWER


async def held_version(session: aiohttp.ClientSession, address: str) -> int | None:
    """Return the version of the configuration that a control machine reads; None if it does not."""
    try:
        async with session.get(f"http://{address}/api/Config.Describe") as got:
            return int(json.loads(await got.read())["version"]) if got.status == 200 else None
    except (aiohttp.ClientError, TimeoutError, OSError):
        return None
