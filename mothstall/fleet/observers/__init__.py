"""The pure parts of observers: attachments, subscriptions and the aggregation of reports.

At an observer: the attached proxies, the state updates for each subscriber, and the aggregates of
the proxies' reports. At a proxy: the choice of its observer, and when to leave it.
"""
