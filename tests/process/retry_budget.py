"""Compares the retries that all nodes have sent together with the budget that they share."""

import bisect
from dataclasses import dataclass


@dataclass(frozen=True)
class RetryBounds:
    """In any window, a service gets at most `ratio` retries for each of its requests, and `burst`."""
    ratio: float = 0.2
    burst: float = 100
    window: float = 10.0  # seconds


@dataclass(frozen=True)
class RetryWindow:
    begins: float
    retries: int
    allowed: float


def count_between(times, begin, end):
    return bisect.bisect_right(times, end) - bisect.bisect_right(times, begin)


def worst_window(retries, requests, bounds):
    """The window whose retries are closest to what is allowed, or furthest beyond it.

    Both lists hold times in seconds: when retries reached targets, and when callers sent requests
    to the service. Requests count in the window, the one before it or the one half a window before
    it, whichever has most.
    """
    retries, requests = sorted(retries), sorted(requests)
    worst = RetryWindow(0.0, 0, bounds.burst)
    for end in retries:
        begin = end - bounds.window
        most = max(count_between(requests, begin - shift, end - shift)
                   for shift in (0, bounds.window / 2, bounds.window))
        found = RetryWindow(begin, count_between(retries, begin, end),
                            bounds.ratio * most + bounds.burst)
        if found.retries * worst.allowed > worst.retries * found.allowed:
            worst = found
    return worst
