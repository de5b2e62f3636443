"""Raft consensus of the replicas, without input or output."""
