"""Sets of commands that change the configuration which routers act on."""

FLEET_COMMANDS = frozenset(
    {
        "apply_configuration",
        "register_replica",
        "register_replicas",
        "set_evacuation",
        "start_rollout",
        "advance_rollout",
        "report_crashes",
        "refuse_request",
    }
)
RESOURCE_COMMANDS = frozenset({"put_resource", "delete_resource"})
