"""Errors of the replicated log."""

from heronladder_runtime.errors import HeronladderError


class NotLeaderError(HeronladderError):
    """This member does not lead; ``peer`` is the leader's name, if known."""


class LeadershipLostError(HeronladderError):
    """The member stopped leading before it knew whether an entry was committed."""


class MembershipChangeError(HeronladderError):
    """A change of members is not allowed now, or makes no sense."""
