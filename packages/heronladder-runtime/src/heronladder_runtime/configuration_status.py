"""Status of the configuration that a daemon holds, compared with what control has reported.

A daemon that is connected to control and holds the revision in force may act. A daemon that is
disconnected from control acts on the configuration it holds, within a limit of its role. A daemon
that is connected and knows that it is behind must not act for long: the revision in force was
acknowledged to an operator or a replica, perhaps without this daemon.
"""

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.logs import EventLog

# Time from a revision's coming into force until no daemon acts on an older one. An update takes
# 0.25 s at 5 Mbit/s. The shortest limit that users require, 2 s, also covers 0.6 s in which a
# request may still be connecting to its replica.
_BEHIND_GRACE_PERIOD_S = 1.0
# A daemon that is disconnected for this long while it waits for an update acts on what it holds.
# A lost stream is reopened in less time if control can be reached. After a longer disconnection
# the grace period begins when the daemon learns of the revision, because control did not wait for
# the daemon in the meantime.
_DISCONNECTED_AFTER_S = 2.5


class ConfigurationStatus:
    """Compares the revision that a daemon holds with the revisions that control has reported.

    Args:
        configuration: Configuration that the daemon holds.
        environment: Source of time.
        log: Log for status changes.

    Attributes:
        in_force_revision: Newest revision that control reported as in force.
        hold_below: Newest promise not to act on any older revision.
        last_contact_s: Time of the newest frame from a leader.
        changed: Notified after each change of the status.
    """

    def __init__(
        self, configuration: ConfigurationStore, environment: Environment, log: EventLog
    ) -> None:
        self._configuration = configuration
        self._environment = environment
        self._log = log
        self.in_force_revision = 0
        self.hold_below = 0
        self.last_contact_s = float("-inf")
        self._reconnected_s = float("-inf")  # end of the newest disconnection
        self._behind_since_s: float | None = None
        self._act_until_s = float("inf")  # end of the grace period while the daemon is behind
        self.changed = ChangeSignal()
        configuration.listen(self._update)

    @property
    def behind(self) -> bool:
        """Whether a newer revision than the one held is known to be in force."""
        return self._configuration.revision < max(self.in_force_revision, self.hold_below)

    @property
    def must_not_act(self) -> bool:
        """Whether the daemon must not act on the configuration it holds."""
        if self._configuration.revision < self.hold_below:
            return True
        if self._behind_since_s is None:
            return False
        now_s = self._environment.monotonic()
        connected = now_s - self.last_contact_s < _DISCONNECTED_AFTER_S
        return connected and now_s >= self._act_until_s

    async def wait_until_allowed_to_act(self) -> None:
        """Wait until the daemon may act on the configuration it holds."""
        while self.must_not_act:
            await self.changed.wait(_BEHIND_GRACE_PERIOD_S)

    def record_leader_contact(self) -> None:
        """Record that a frame from a leader arrived."""
        now_s = self._environment.monotonic()
        if now_s - self.last_contact_s >= _DISCONNECTED_AFTER_S:
            self._reconnected_s = now_s
        self.last_contact_s = now_s

    def record_in_force(
        self, in_force_revision: int, hold_below: int, in_force_age_s: float = 0.0
    ) -> None:
        """Record the revision in force and the order not to act on older revisions.

        Args:
            in_force_revision: Newest revision in force; 0 if control did not report it.
            hold_below: Oldest revision to act on from now on; 0 if there is no order.
            in_force_age_s: Time since that revision came into force, in seconds.
        """
        if in_force_revision > self.in_force_revision:
            self.in_force_revision = in_force_revision
            in_force_since_s = self._environment.monotonic() - in_force_age_s
            grace_ends_s = max(in_force_since_s, self._reconnected_s) + _BEHIND_GRACE_PERIOD_S
            # The first revision that was missed decides: a newer one does not extend the period.
            self._act_until_s = min(self._act_until_s, grace_ends_s)
        self.hold_below = max(self.hold_below, hold_below)
        self._update()

    def _update(self) -> None:
        now_s = self._environment.monotonic()
        if self.behind and self._behind_since_s is None:
            self._behind_since_s = now_s
            self._log.info(
                "configuration_behind",
                step="configuration",
                revision=self._configuration.revision,
                in_force=self.in_force_revision,
                hold_below=self.hold_below,
            )
        elif not self.behind and self._behind_since_s is not None:
            self._log.info(
                "configuration_caught_up",
                step="configuration",
                revision=self._configuration.revision,
                behind_s=now_s - self._behind_since_s,
            )
            self._behind_since_s = None
        if not self.behind:
            self._act_until_s = float("inf")
        self.changed.notify_waiters()
