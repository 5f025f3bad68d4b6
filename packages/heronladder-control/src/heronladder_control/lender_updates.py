"""What one router is told of the routers that lend prepaid tokens."""

from collections.abc import Iterable

from heronladder_schema.v1 import control_pb2, ledger_pb2


class LenderUpdates:
    """Keeps what a stream has told of lenders, and what is still to be told."""

    def __init__(self) -> None:
        self._told: dict[str, tuple[str, str]] = {}  # zone and address, by name
        self._due: dict[str, control_pb2.Lender] = {}

    def record_daemons(self, records: Iterable[ledger_pb2.DaemonRecord]) -> None:
        """Take in all daemons, for the first frame of a stream."""
        for record in records:
            if record.lending_address and not record.gone:
                self.record_daemon(record)

    def record_daemon(self, record: ledger_pb2.DaemonRecord) -> bool:
        """Take in a daemon that registered or is gone; return whether that is news.

        A restart alone is none: the name, zone and address are the same.
        """
        address = "" if record.gone else record.lending_address
        known = self._told.get(record.name)
        is_news = bool(address) if known is None else known != (record.zone, address)
        if is_news:
            self._told[record.name] = (record.zone, address)
            self._due[record.name] = control_pb2.Lender(
                name=record.name, zone=record.zone, address=address
            )
        return is_news

    def fill(self, frame: control_pb2.ControlFrame) -> None:
        """Add what is still to be told to a frame."""
        frame.lenders.extend(self._due.values())
        self._due.clear()
