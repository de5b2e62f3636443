"""The lab: simulated fleets with faults, run on policies or real proxies, and checked by rules."""
