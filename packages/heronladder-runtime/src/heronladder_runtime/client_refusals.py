"""Refusals of requests that have not arrived in full, so that nothing of them has run."""

import json

from aiohttp import web

RETRY_AFTER_S = 1
OUTCOME_HEADER = "Heronladder-Outcome"
NOT_RUN = "not-run"


class RequestRefusedError(web.HTTPException):
    """A request is refused while it is being received.

    A handler gets it from the body that it reads; what the handler does not catch is the response.

    Args:
        message: What happened, with the values.
    """

    status_code = 503
    code = "overloaded"

    def __init__(self, message: str) -> None:
        error = {"message": message, "type": self.code, "code": self.code}
        super().__init__(
            headers={OUTCOME_HEADER: NOT_RUN},
            text=json.dumps({"error": error}),
            content_type="application/json",
        )
        self.message = message


class BuffersFullError(RequestRefusedError):
    """The process may hold no more bytes of unfinished requests."""

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.headers["Retry-After"] = str(RETRY_AFTER_S)


class SlowRequestError(RequestRefusedError):
    """A head or a body arrives too slowly."""

    status_code = 408
    code = "request_timeout"


class LargeHeadError(RequestRefusedError):
    """The head of a request is larger than allowed."""

    status_code = 431
    code = "head_too_large"
