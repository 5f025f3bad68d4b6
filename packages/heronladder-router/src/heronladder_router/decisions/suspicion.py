"""For how long other replicas are preferred to one that failed or rejected requests in a row."""

#: Time after a rejection for which a replica is expected to have no free slot.
BUSY_S = 0.15
_MIN_AFTER_FAILURE_S = 0.4
_MAX_AFTER_FAILURE_S = 4.0
_MAX_AFTER_REJECTION_S = 2.4
_MAX_DOUBLINGS = 10  # both limits are reached earlier; a power of the count would overflow


def after_failures_s(failures: int) -> float:
    """Return a duration in seconds that doubles with each failure.

    Args:
        failures: Failures in a row, at least one.
    """
    doublings = min(failures - 1, _MAX_DOUBLINGS)
    return min(_MAX_AFTER_FAILURE_S, _MIN_AFTER_FAILURE_S * 2.0**doublings)


def after_rejections_s(rejections: int) -> float:
    """Return a duration in seconds that doubles with each rejection.

    Args:
        rejections: Rejections in a row, at least one.
    """
    doublings = min(rejections - 1, _MAX_DOUBLINGS)
    return min(_MAX_AFTER_REJECTION_S, BUSY_S * 2.0**doublings)
