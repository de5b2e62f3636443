"""Failover between zones: reports, evidence, the plan, and how a proxy follows it."""
