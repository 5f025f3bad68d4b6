"""Format of error responses to callers: the JSON body and the outcome header.

The outcome header says whether the request ran on a replica.
"""

import json

OUTCOME_HEADER = "Heronladder-Outcome"


def error_response_body(message: str, code: str) -> bytes:
    """Return the body of an error response in the OpenAI error format.

    Args:
        message: Human-readable description.
        code: Machine-readable error code; also sent as the error type.
    """
    error = {"message": message, "type": code, "param": None, "code": code}
    return json.dumps({"error": error}).encode()
