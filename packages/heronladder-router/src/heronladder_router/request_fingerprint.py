"""What two tries of one request have in common, wherever and whenever they come."""

import hashlib

_DIGEST_BYTES = 8


def compute_fingerprint(tenant: str, method: str, target: str, body: bytes) -> str:
    """Return a fingerprint of a request, 16 hexadecimal digits.

    Headers do not count: a caller's next try has another request id and deadline.

    Args:
        tenant: Name of its tenant; empty: none.
        method: HTTP method.
        target: Path and query, as received.
        body: The whole body.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (tenant.encode(), method.encode(), target.encode("utf-8", "surrogateescape")):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()
