"""Evidence and verdicts of a rollout, shared by the control leader and the gateways."""
