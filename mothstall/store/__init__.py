"""A replicated store; only storage and connections do I/O, consensus and state are pure."""
