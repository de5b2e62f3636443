"""mothstall: a load-balancing proxy for fleets of HTTP servers."""
