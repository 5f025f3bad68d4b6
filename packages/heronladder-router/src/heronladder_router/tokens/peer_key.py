"""Authentication of messages between gateways by HMAC with a shared key."""

import hashlib
import hmac
from pathlib import Path
from typing import Protocol

from heronladder_runtime.errors import SettingsError


class TaggedMessage(Protocol):
    """A message with a field for its authentication tag."""

    tag: bytes

    def SerializeToString(self, *, deterministic: bool = ...) -> bytes:
        """Return the serialized message."""


class PeerKey:
    """Signs messages and verifies their tags; does neither if no key file is configured.

    Args:
        file: Path of the key file, one key per line. The first key signs and all keys are
            accepted, so that a new key can be distributed to all gateways before it signs.
            Empty: messages are neither signed nor verified.

    Raises:
        SettingsError: If the file cannot be read or holds no key.
    """

    def __init__(self, file: str) -> None:
        self._file = file
        self._keys: list[bytes] = []
        self.reload()

    @property
    def is_set(self) -> bool:
        """Whether messages are signed and verified."""
        return bool(self._keys)

    def reload(self) -> None:
        """Read the key file again.

        Raises:
            SettingsError: If the file cannot be read or holds no key.
        """
        if not self._file:
            return
        try:
            lines = Path(self._file).read_bytes().split(b"\n")
        except OSError as error:
            raise SettingsError([f"lending_key_file {self._file}: {error}"]) from error
        keys = [line.strip() for line in lines if line.strip()]
        if not keys:
            raise SettingsError([f"lending_key_file {self._file}: file contains no key"])
        self._keys = keys

    def sign(self, message: TaggedMessage) -> None:
        """Set the authentication tag of a message, which must not change afterwards."""
        if self._keys:
            message.tag = b""
            message.tag = self._tag(self._keys[0], message)

    def verifies(self, message: TaggedMessage) -> bool:
        """Return whether a message is signed with one of the keys, or no key is configured."""
        if not self._keys:
            return True
        received_tag = message.tag
        message.tag = b""
        try:
            tags = [self._tag(key, message) for key in self._keys]
        finally:
            message.tag = received_tag
        return any(hmac.compare_digest(received_tag, tag) for tag in tags)

    @staticmethod
    def _tag(key: bytes, message: TaggedMessage) -> bytes:
        return hmac.digest(key, message.SerializeToString(deterministic=True), hashlib.sha256)
