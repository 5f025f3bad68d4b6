"""Updates to one router about the routers that lend prepaid tokens."""

from collections.abc import Iterable

from heronladder_schema.v1 import control_pb2, ledger_pb2


class LenderUpdates:
    """Tracks the lenders sent on one stream and the updates that are still to be sent."""

    def __init__(self) -> None:
        self._known: dict[str, tuple[str, str]] = {}  # zone and address, by name
        self._pending: dict[str, control_pb2.Lender] = {}

    def record_daemons(self, records: Iterable[ledger_pb2.DaemonRecord]) -> None:
        """Record all daemons, for the first frame of a stream."""
        for record in records:
            if record.lending_address and not record.gone:
                self.record_daemon(record)

    def record_daemon(self, record: ledger_pb2.DaemonRecord) -> bool:
        """Record a daemon that registered or is gone; return whether an update is due.

        A restart with the same zone and address needs no update.
        """
        address = "" if record.gone else record.lending_address
        known = self._known.get(record.name)
        is_changed = bool(address) if known is None else known != (record.zone, address)
        if is_changed:
            self._known[record.name] = (record.zone, address)
            self._pending[record.name] = control_pb2.Lender(
                name=record.name, zone=record.zone, address=address
            )
        return is_changed

    def fill(self, frame: control_pb2.ControlFrame) -> None:
        """Move all pending updates into a frame."""
        frame.lenders.extend(self._pending.values())
        self._pending.clear()
