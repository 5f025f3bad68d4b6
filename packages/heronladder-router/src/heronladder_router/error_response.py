"""How an error is told to callers: the body, and the header that says whether it ran."""

import json

OUTCOME_HEADER = "Heronladder-Outcome"


def error_response_body(message: str, code: str) -> bytes:
    """Return the body of an error, in the form OpenAI clients know."""
    error = {"message": message, "type": code, "param": None, "code": code}
    return json.dumps({"error": error}).encode()
