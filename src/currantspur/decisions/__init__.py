"""Decide without clock, sockets, tasks or codecs.

Callers pass in the time as monotonic seconds: parameters named `at`, attributes
that end in `_at` or `_until`.
"""
