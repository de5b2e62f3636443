"""Fleet-wide coordination of proxies: pure decisions, and the agent that carries them out."""
