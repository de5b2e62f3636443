"""Request decisions: backend selection, retries, hedging and rejection. No input or output.

`Balancer` takes the events of `mothstall.interface` and returns its actions. `priority_groups`
implements "A Predictive-Adaptive Algorithm for a Web Switch"; every other module adds one mechanism
that the paper does not have, and names the fault that it guards against. `docs/design.md` gives the
reason for each.
"""

from mothstall.policy.balancer import Balancer

__all__ = ["Balancer"]
