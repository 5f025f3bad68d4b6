"""Decides how many retries a gateway may send within a window, so that all stay within a bound.

The bound of the fleet is a fraction of the requests plus a constant, the slack. Each gateway sends
retries for its own requests, and a share of the slack. Two parts of the bound add up to the whole:

- The larger part is for gateways that know what they sent in the whole window and among how many
  the slack is divided.
- The smaller part is for the others. A process that replaces another one does not know what that
  one sent, which still counts. Clients that come to a new process have left another gateway, which
  may have sent retries for their requests, unless the fleet is new. Gateways that joined, or were
  disconnected from control while others joined, divide the slack by another number than the rest.
"""

from dataclasses import dataclass

from heronladder_runtime.fleet_membership import MembershipView

#: Part of the bound for gateways with complete knowledge.
SETTLED_FRACTION = 0.78
#: Part of the bound for the others.
UNSETTLED_FRACTION = 1.0 - SETTLED_FRACTION


@dataclass(frozen=True)
class RetryView:
    """State from which the allowance of a gateway follows.

    Attributes:
        requests: Requests for the service in the window, at this gateway.
        ratio: Retries allowed per request.
        slack: Retries in a window that all gateways may send in addition.
        window_s: Length of the window, in seconds.
        running_s: Time for which the process has run, in seconds.
        membership: Membership view of the gateway, for the same window.
    """

    requests: int
    ratio: float
    slack: int
    window_s: float
    running_s: float
    membership: MembershipView


@dataclass(frozen=True)
class RetryAllowance:
    """Retries that a gateway may send within a window.

    Attributes:
        retries: Their number, including the share.
        share: Part of the slack of all gateways.
    """

    retries: float
    share: float


def retry_allowance(view: RetryView) -> RetryAllowance:
    """Return how many retries a gateway may send within a window."""
    membership = view.membership
    is_new = view.running_s < view.window_s
    has_unknown_past = is_new and not membership.started_with_fleet
    fraction = UNSETTLED_FRACTION if has_unknown_past else SETTLED_FRACTION
    has_predecessor = is_new and not membership.first_of_name
    share = 0.0
    if membership.count and not has_predecessor:
        share_fraction = SETTLED_FRACTION if membership.settled else UNSETTLED_FRACTION
        share = share_fraction * view.slack / membership.count
    return RetryAllowance(fraction * view.ratio * view.requests + share, share)
