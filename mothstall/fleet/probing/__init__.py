"""Health checks that all proxies share: assignment of probers, and results of probes. Pure.

Backends are divided among the live proxies by rendezvous hashing; each prober holds a lease for its
backend. Results are published as health hints: advice with its age and evidence, on which no rule
depends.
"""
