"""Receives the bodies of callers' requests until their deadline."""

import asyncio

import aiohttp
from heronladder_runtime.client_refusals import BuffersFullError as ClientBuffersFullError
from heronladder_runtime.client_refusals import SlowRequestError
from heronladder_runtime.request_body import collect_body

from heronladder_router.errors import BodyTooLargeError, BuffersFullError, RequestTimeoutError

_STEP = "intake"


async def receive_body(
    content: aiohttp.StreamReader, stated_bytes: int | None, limit_bytes: int, time_left_s: float
) -> bytes:
    """Receive a body.

    Args:
        content: The body.
        stated_bytes: Its size in bytes, if the request states one.
        limit_bytes: Largest size that is accepted, in bytes.
        time_left_s: Time until the deadline of the request, in seconds.

    Raises:
        BodyTooLargeError: If the body is larger.
        BuffersFullError: If the process may hold no more of it.
        RequestTimeoutError: If it arrives too slowly.
    """
    if stated_bytes is not None and stated_bytes > limit_bytes:
        raise BodyTooLargeError(
            f"request body has {stated_bytes} bytes, {limit_bytes} allowed", step=_STEP
        )
    try:
        if content.is_eof():
            body = await collect_body(content, limit_bytes)
        else:
            async with asyncio.timeout(max(0.0, time_left_s)):
                body = await collect_body(content, limit_bytes)
    except ClientBuffersFullError as error:
        raise BuffersFullError(error.message, step=_STEP) from None
    except SlowRequestError as error:
        raise RequestTimeoutError(error.message, step=_STEP) from None
    except TimeoutError:
        raise RequestTimeoutError(
            "the request body did not arrive by the deadline of the request", step=_STEP
        ) from None
    if body is None:
        raise BodyTooLargeError(
            f"request body exceeds the limit of {limit_bytes} bytes", step=_STEP
        )
    return body
