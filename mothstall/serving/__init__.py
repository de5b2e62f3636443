"""Code shared by keepers and observers, the processes that serve frame connections."""
