"""The simulator's wire: its frames (`codec`)."""
