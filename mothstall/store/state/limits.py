"""Limits on the replicated state, so that memory, frames and snapshots stay bounded.

All replicas must have the same limits: with different ones they would reach different states from
the same log.
"""

MAX_SESSIONS = 4096  # the longest idle session is evicted; its client then opens a new one
MAX_ROWS = 8192  # each for leases, drains and values; bounds snapshots and complete deltas
MAX_NAME_LENGTH = 100  # characters: names of leases, owners, backends, zones and operators
MAX_INFO_LENGTH = 1024  # characters: all keys and values of a lease's `info`
MAX_REASON_LENGTH = 1000  # characters: an operator's reason for a drain
MAX_VALUE_BYTES = 16 * 1024  # of one value; bounds log entries
MAX_LEASES_PER_RENEWAL = 1024  # one owner's leases in one log entry; bounds its size
MAX_LEASE_MS = (
    3_600_000  # an hour; a process that is gone blocks its lease's name at most this long
)
MAX_RECENT_CHANGES = 4096  # kept for deltas; a reader that lags by more gets the complete state
MAX_MEMBERSHIP_BATCH = 256  # joins and departures in one log entry; bounds its size
MAX_MEMBERS = 16_384  # attached proxies; bounds snapshots and complete deltas
MAX_EPOCH = (1 << 62) - 1  # attachment epochs stay below a signed 64-bit integer
