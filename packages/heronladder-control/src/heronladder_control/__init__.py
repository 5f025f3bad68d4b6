"""Control role: resources, ledger, claims, membership."""
