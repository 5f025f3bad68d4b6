"""Attributes of requests that crashes of replicas can be held against.

Each attribute has a fingerprint, by which control keeps the evidence. The kind of an attribute is
part of its fingerprint, so that a further kind needs no change of the log.
"""

import hashlib
from enum import Enum
from functools import lru_cache

_DIGEST_BYTES = 8
_CACHED_FINGERPRINTS = 4_096


class AttributeKind(Enum):
    """What an attribute stands for; the value is the start of its fingerprint."""

    REQUEST = ""  # caller, method, path and body
    PROMPT_PART = "part-"  # a part of the prompt that other requests may share


def attribute_kind(fingerprint: str) -> AttributeKind:
    """Return the kind of an attribute from its fingerprint."""
    if fingerprint.startswith(AttributeKind.PROMPT_PART.value):
        return AttributeKind.PROMPT_PART
    return AttributeKind.REQUEST


@lru_cache(maxsize=_CACHED_FINGERPRINTS)
def prompt_part_fingerprint(service: str, part: str) -> str:
    """Return the fingerprint of a part of prompts for one service.

    Args:
        service: Name of the service.
        part: Id of the part, wherever it stands in a prompt.
    """
    digest = hashlib.blake2b(f"{service}\n{part}".encode(), digest_size=_DIGEST_BYTES)
    return f"{AttributeKind.PROMPT_PART.value}{digest.hexdigest()}"
