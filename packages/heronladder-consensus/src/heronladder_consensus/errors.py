"""Errors of the replicated log."""

from heronladder_runtime.errors import HeronladderError


class NotLeaderError(HeronladderError):
    """This member is not the leader; ``peer`` is the name of the leader, if known."""


class LeadershipLostError(HeronladderError):
    """The member lost leadership before it knew whether an entry was committed."""


class MembershipChangeError(HeronladderError):
    """A membership change is invalid, or not allowed at present."""
