"""A shared key that proves messages between gateways."""

import hashlib
import hmac
from pathlib import Path
from typing import Protocol

from heronladder_runtime.errors import SettingsError


class TaggedMessage(Protocol):
    """A message with a field for its proof."""

    tag: bytes

    def SerializeToString(self, *, deterministic: bool = ...) -> bytes:
        """Return the message's bytes."""


class PeerKey:
    """Signs messages and checks signatures; does neither where no file is named.

    Args:
        file: Its keys, one a line: the first signs, all are accepted, so that a new key
            can be brought to all gateways before it signs. Empty: messages go unproved.

    Raises:
        SettingsError: If the file cannot be read or holds no key.
    """

    def __init__(self, file: str) -> None:
        self._file = file
        self._keys: list[bytes] = []
        self.reload()

    @property
    def is_set(self) -> bool:
        """Whether messages are proved."""
        return bool(self._keys)

    def reload(self) -> None:
        """Read the keys again.

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
            raise SettingsError([f"lending_key_file {self._file}: holds no key"])
        self._keys = keys

    def sign(self, message: TaggedMessage) -> None:
        """Put the proof into a message; nothing in it may change after."""
        if self._keys:
            message.tag = b""
            message.tag = self._tag(self._keys[0], message)

    def verifies(self, message: TaggedMessage) -> bool:
        """Whether a message was signed with one of the keys, or none is asked for."""
        if not self._keys:
            return True
        told = message.tag
        message.tag = b""
        try:
            tags = [self._tag(key, message) for key in self._keys]
        finally:
            message.tag = told
        return any(hmac.compare_digest(told, tag) for tag in tags)

    @staticmethod
    def _tag(key: bytes, message: TaggedMessage) -> bytes:
        return hmac.digest(key, message.SerializeToString(deterministic=True), hashlib.sha256)
