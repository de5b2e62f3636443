"""Backends: connections to them, the pool of idle ones, and attempts in flight."""
