"""Hosts instances of the policy behind the simulator's wire protocol."""
