"""Dispatches the orders in a frame from control to the daemon's handlers."""

from heronladder_schema.v1 import control_pb2

from heronladder_runtime.link_handlers import ControlLinkHandlers


def dispatch_orders(handlers: ControlLinkHandlers, frame: control_pb2.ControlFrame) -> None:
    """Pass each order of a frame to its handler; ignore orders without a handler."""
    if handlers.recall is not None:
        for recall in frame.recalls:
            handlers.recall(recall.lease_id, recall.keep)
    if handlers.promises_noted is not None and frame.promises_noted:
        handlers.promises_noted(frame.promises_noted)
    if handlers.replica_loads is not None and frame.has_replica_loads:
        handlers.replica_loads(frame.replica_loads)
    if frame.rollout_grants and handlers.rollout_grants is not None:
        handlers.rollout_grants(frame.rollout_grants)
    if frame.lenders and handlers.lenders is not None:
        handlers.lenders(frame.lenders)
    if handlers.recall_prepaid is not None:
        for tenant in frame.prepaid_recalls:
            handlers.recall_prepaid(tenant)
    if handlers.daemon_notice is not None:
        for notice in frame.daemons:
            handlers.daemon_notice(notice)
