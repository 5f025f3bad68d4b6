"""The soak of a release in which the build replaces itself: what replacing machines costs alone."""

from upgrade_soak import UpgradeSoak


class SameBuildSoak(UpgradeSoak):
    """One run, as that of a release, with the same faults and orders for the same seed."""

    @staticmethod
    def _build_before() -> str:
        return ""
