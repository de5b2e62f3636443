"""The lab: a model of a fleet and its troubles, played against the decisions or real proxies, and judged."""
