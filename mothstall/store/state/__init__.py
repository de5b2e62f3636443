"""The replicated state machine: sessions, leases, drains, values and membership. Pure."""
