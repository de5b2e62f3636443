"""Leases: expiry at the keepers, validity at the holder, and fencing of late writes. Pure.

The grantor expires a lease no earlier than at the end of its term, and the holder stops acting no
later than that (Gray and Cheriton, "Leases", 1989). Each measures the term on its own monotonic
clock, in nanoseconds; two clocks are never compared. The holder's term starts before it sends its
request, the grantor's when it commits the grant, which is later. `drift` bounds the relative
difference between the rates of two clocks; `margin` is the time that a holder needs between its
last check of the lease and the end of the action that it takes under the lease.
"""
