"""Soak test of real proxies: seeded signals, malformed uploads, idle crowds and silent watches."""
