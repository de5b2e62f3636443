"""A keeper: one replica of the store as a process of its own."""
