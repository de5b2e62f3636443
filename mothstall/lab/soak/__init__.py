"""A soak of real proxies: signals, breaks and crowds by seed, judged by what clients and backends saw."""
