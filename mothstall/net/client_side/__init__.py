"""Client side: connections, the accept loop and its connection budget, load shedding, drain."""
