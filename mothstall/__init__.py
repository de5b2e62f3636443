"""mothstall: a load-balancing proxy for fleets of HTTP servers."""

__version__ = "0.1.0"
