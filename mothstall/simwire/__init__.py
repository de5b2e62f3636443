"""The simulator's wire: its frames (`codec`) and its settings text (`settings`)."""
