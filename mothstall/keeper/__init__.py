"""A keeper: the process that runs one replica of the store."""
