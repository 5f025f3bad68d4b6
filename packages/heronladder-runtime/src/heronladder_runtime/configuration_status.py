"""How the configuration that a daemon holds stands to what control has said.

Three states need three answers. A daemon that hears control and holds what is in
force acts. One that control is silent to goes by what it holds, within a bound of its
role. One that hears control and knows that it is behind must not act for long: what
is in force was acknowledged to an operator or a replica, perhaps without it.
"""

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.logs import EventLog

# From a state's coming into force until nobody acts by an older one. An update takes a
# quarter of a second at 5 Mbit/s; the shortest bound of the users, 2 s, also covers 0.6 s in
# which a request may still be connecting to its replica.
_BEHIND_GRACE_S = 1.0
# A daemon that is cut off while it waits for an update goes on by what it holds; a stream
# that is lost is opened anew in less where there is a way to control. One that was
# silent for longer has the grace from learning of it: its callers are not bound meanwhile.
_OUT_OF_TOUCH_S = 2.5


class ConfigurationStatus:
    """Compares the revision held with what control has said.

    Args:
        configuration: What the daemon holds.
        environment: Time.
        log: Where changes of standing are reported.
    """

    def __init__(
        self, configuration: ConfigurationStore, environment: Environment, log: EventLog
    ) -> None:
        self._configuration = configuration
        self._environment = environment
        self._log = log
        self.in_force_revision = 0  # newest one that control said is in force
        self.hold_below = 0  # newest promise to act by nothing older
        self.last_contact_s = float("-inf")  # newest frame of a leader
        self._back_s = float("-inf")  # when the newest silence of control ended
        self._behind_since_s: float | None = None
        self._act_until_s = float("inf")  # while it is behind
        self.changed = ChangeSignal()
        configuration.listen(self._note)

    @property
    def behind(self) -> bool:
        """Whether something newer than what is held is known to be in force."""
        return self._configuration.revision < max(self.in_force_revision, self.hold_below)

    @property
    def must_not_act(self) -> bool:
        """Whether the daemon may not act by what it holds."""
        if self._configuration.revision < self.hold_below:
            return True
        if self._behind_since_s is None:
            return False
        now_s = self._environment.monotonic()
        in_touch = now_s - self.last_contact_s < _OUT_OF_TOUCH_S
        return in_touch and now_s >= self._act_until_s

    async def wait_until_allowed_to_act(self) -> None:
        """Wait while the daemon must hold."""
        while self.must_not_act:
            await self.changed.wait(_BEHIND_GRACE_S)

    def record_leader_contact(self) -> None:
        """Note a frame of a leader."""
        now_s = self._environment.monotonic()
        if now_s - self.last_contact_s >= _OUT_OF_TOUCH_S:
            self._back_s = now_s
        self.last_contact_s = now_s

    def record_in_force(
        self, in_force_revision: int, hold_below: int, in_force_age_s: float = 0.0
    ) -> None:
        """Note what control says is in force, and below what it asks not to act.

        Args:
            in_force_revision: Newest revision in force; 0 if it was not told.
            hold_below: Act by nothing older from now on; 0 for no order.
            in_force_age_s: How long that revision has been in force, in seconds.
        """
        if in_force_revision > self.in_force_revision:
            self.in_force_revision = in_force_revision
            since_s = self._environment.monotonic() - in_force_age_s
            grace_ends_s = max(since_s, self._back_s) + _BEHIND_GRACE_S
            # What was missed first decides: a newer change gives no further grace.
            self._act_until_s = min(self._act_until_s, grace_ends_s)
        self.hold_below = max(self.hold_below, hold_below)
        self._note()

    def _note(self) -> None:
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
