"""The control role: resources, ledger, claims and group membership."""
