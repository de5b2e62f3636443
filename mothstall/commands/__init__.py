"""Commands for operators of a fleet: one module for each command group."""
