"""What one router is told of the routers that lend prepaid tokens."""

from collections.abc import Iterable

from heronladder_schema.v1 import control_pb2, ledger_pb2


class LenderNews:
    """Keeps what a stream has told of lenders, and what is still to be told."""

    def __init__(self) -> None:
        self._told: dict[str, control_pb2.Lender] = {}
        self._due: dict[str, control_pb2.Lender] = {}

    def know_all(self, records: Iterable[ledger_pb2.DaemonRecord]) -> None:
        """Take in all daemons, for the first frame of a stream."""
        for record in records:
            if record.lending_address and not record.gone:
                self.know(record)

    def know(self, record: ledger_pb2.DaemonRecord) -> bool:
        """Take in a daemon that registered or is gone; return whether that is news.

        A restart alone is none: the name, zone and address are the same.
        """
        lender = control_pb2.Lender(name=record.name, zone=record.zone)
        if not record.gone:
            lender.address = record.lending_address
        if self._told.get(record.name, control_pb2.Lender(name=record.name)) == lender:
            return False
        if not lender.address and record.name not in self._told:
            return False
        self._told[record.name] = lender
        self._due[record.name] = lender
        return True

    def fill(self, frame: control_pb2.ControlFrame) -> None:
        """Add what is still to be told to a frame."""
        frame.lenders.extend(self._due.values())
        self._due.clear()
