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
