"""Hosts many instances of the decision module behind the simulator's wire."""
