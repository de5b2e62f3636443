"""What proxies do together: leases, duties and drains (pure), and the agent that carries them out."""
