"""Fingerprint of a request, equal for all of a caller's attempts at any gateway."""

import hashlib

_DIGEST_BYTES = 8


def compute_fingerprint(tenant: str, method: str, target: str, body: bytes) -> str:
    """Return the fingerprint of a request, 16 hexadecimal digits.

    Headers are left out: a caller's next attempt has another request id and deadline.

    Args:
        tenant: Name of the tenant; empty if the caller is anonymous.
        method: HTTP method.
        target: Path and query, as received.
        body: Complete body.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (tenant.encode(), method.encode(), target.encode("utf-8", "surrogateescape")):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()
