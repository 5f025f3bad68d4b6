"""Daemons known to control, and the collection of the leases and bills of lost routers."""

from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control.ledger import Ledger
from heronladder_control.results import failure, success

ROLE_ROUTER = "router"
ROLE_AGENT = "agent"
_MAX_PREVIOUS_INCARNATIONS = 16


class DaemonTable:
    """Routers and agents of a region, by name.

    Args:
        ledger: Ledger with the leases of routers.

    Attributes:
        daemons: Records of daemons, by name.
        collections: Collections in progress, by the router's name and incarnation.
    """

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self.daemons: dict[str, ledger_pb2.DaemonRecord] = {}
        self.collections: dict[tuple[str, str], ledger_pb2.Collection] = {}

    def register(self, index: int, wanted: ledger_pb2.DaemonRecord) -> control_pb2.CommandResult:
        """Register a new incarnation of a daemon; earlier incarnations are refused.

        Args:
            index: Index of the log entry, which becomes the record's revision.
            wanted: Record of the daemon.
        """
        known = self.daemons.get(wanted.name)
        record = ledger_pb2.DaemonRecord()
        record.CopyFrom(wanted)
        del record.previous[:]
        record.confirmed.clear()
        record.settled = False
        record.gone = False
        record.revision = index
        if known is not None:
            if wanted.incarnation in known.previous:
                return failure(
                    control_pb2.RESULT_CODE_STALE, "a later incarnation has taken the name"
                )
            if wanted.incarnation == known.incarnation:
                if known.gone:
                    return failure(
                        control_pb2.RESULT_CODE_STALE, "this incarnation was declared gone"
                    )
                return success()
            if not known.gone:
                self._retire(known)
            record.previous.extend(
                [*known.previous, known.incarnation][-_MAX_PREVIOUS_INCARNATIONS:]
            )
        self.daemons[wanted.name] = record
        return success()

    def later_incarnations(self, name: str, incarnation: str) -> list[str]:
        """Return the incarnations that registered after a given one, oldest first.

        Nothing is known to be later than an incarnation that is no longer listed.
        """
        record = self.daemons.get(name)
        listed = [*record.previous, record.incarnation] if record is not None else []
        return listed[listed.index(incarnation) + 1 :] if incarnation in listed else []

    def declare_gone(self, order: control_pb2.DeclareGone) -> control_pb2.CommandResult:
        """Permanently revoke an incarnation's right to act."""
        known = self.daemons.get(order.name)
        if known is None or known.incarnation != order.incarnation:
            return failure(control_pb2.RESULT_CODE_STALE, "no such incarnation")
        if not known.gone:
            known.gone = True
            self._retire(known)
        return success()

    def confirm(self, order: control_pb2.ConfirmAgent) -> control_pb2.CommandResult:
        """Record that a router settled all its requests at earlier incarnations of an agent."""
        known = self.daemons.get(order.router)
        if known is None or known.incarnation != order.router_incarnation or known.gone:
            return failure(control_pb2.RESULT_CODE_STALE, "no such incarnation of the router")
        known.confirmed[order.agent] = order.agent_incarnation
        return success()

    def confirm_settled(self, order: control_pb2.ConfirmSettled) -> control_pb2.CommandResult:
        """Record that a router's incarnation has settled all its reservations.

        No settlement can be missing then: its leases are closed at once, and what stayed charged
        on its account is released.
        """
        key = (order.router, order.router_incarnation)
        known = self.daemons.get(order.router)
        if known is not None and known.incarnation == order.router_incarnation:
            known.settled = True
        collection = self.collections.pop(key, None)
        if collection is not None:
            self._ledger.close(*key, records_lost=False)
        self._ledger.release_kept_charges(*key)
        return success()

    def forget_agent(self, name: str) -> None:
        """Stop waiting for an agent whose backend was deleted by the operator."""
        if self.daemons.pop(name, None) is None:
            return
        for key in sorted(self.collections):
            collection = self.collections[key]
            if name in collection.awaited_agents:
                collection.awaited_agents.remove(name)
                collection.records_lost = True
                self._close_if_collected(collection)

    def _retire(self, record: ledger_pb2.DaemonRecord) -> None:
        """Fence a router's leases and start to collect the usage that agents have under them."""
        if record.role != ROLE_ROUTER:
            return
        self._ledger.fence(record.name, record.incarnation)
        collection = ledger_pb2.Collection(
            router=record.name,
            router_incarnation=record.incarnation,
            router_revision=record.revision,
            confirmed=record.confirmed,
        )
        if record.settled:
            self._ledger.close(record.name, record.incarnation, records_lost=False)
            return
        # Agents are awaited even if no tokens are left: they may still hold bills of the router.
        collection.awaited_agents.extend(
            name for name in sorted(self.daemons) if self.daemons[name].role == ROLE_AGENT
        )
        self.collections[record.name, record.incarnation] = collection
        self._close_if_collected(collection)

    def record_collected(self, order: control_pb2.CollectedRouter) -> control_pb2.CommandResult:
        """Record that an agent has reported everything for a router that is gone."""
        collection = self.collections.get((order.router, order.router_incarnation))
        agent = self.daemons.get(order.agent)
        if collection is None or order.agent not in collection.awaited_agents:
            return success()
        if agent is None or agent.incarnation != order.agent_incarnation:
            return failure(control_pb2.RESULT_CODE_STALE, "no such incarnation of the agent")
        # An agent that restarted after the router registered may have run requests of that router
        # and lost their records, unless the router confirmed after the restart that it had settled
        # all of them.
        restarted = agent.revision > collection.router_revision and bool(agent.previous)
        confirmed = collection.confirmed.get(agent.name, "") == agent.incarnation
        if restarted and not confirmed and not agent.journal:
            collection.records_lost = True
        collection.awaited_agents.remove(order.agent)
        self._close_if_collected(collection)
        return success()

    def _close_if_collected(self, collection: ledger_pb2.Collection) -> None:
        if collection.awaited_agents:
            return
        key = (collection.router, collection.router_incarnation)
        self._ledger.close(*key, records_lost=collection.records_lost)
        self.collections.pop(key, None)

    def save(self, snapshot: control_pb2.StateSnapshot) -> None:
        """Write the table into a snapshot."""
        snapshot.daemons.extend(self.daemons[name] for name in sorted(self.daemons))
        snapshot.collections.extend(self.collections[key] for key in sorted(self.collections))

    def load(self, snapshot: control_pb2.StateSnapshot) -> None:
        """Restore the table from a snapshot."""
        self.daemons = {record.name: record for record in snapshot.daemons}
        self.collections = {
            (collection.router, collection.router_incarnation): collection
            for collection in snapshot.collections
        }
