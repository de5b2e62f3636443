"""The agent of one proxy: its connection to keepers or observers, and the parts it composes."""
