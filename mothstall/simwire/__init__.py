"""The simulator's wire protocol (`codec`)."""
