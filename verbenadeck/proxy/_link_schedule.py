"""Times at which large bodies occupy the link of a proxy."""

import math
from collections.abc import Iterator
from operator import attrgetter

MAX_BACKLOG_S = 0.25
"""Longest time for which bodies under way may occupy the link, in seconds.
Calls and leases share the link; it is a quarter of the time without a byte
after which a peer counts as lost."""


class LinkSpan:
    """Time in which one body occupies the link.

    Parameters
    ----------
    starts_at_s : float
        Start of the span, in seconds.
    body_s : float
        Time that the body takes at the rate of the link, in seconds.

    Attributes
    ----------
    ends_at_s : float
        End of the span, the forecast arrival of the body, in seconds.
    send_at_s : float
        Time from which the body may be sent, in seconds. It is before the
        start of the span by what may be under way besides the body.
    is_over : bool
        Whether the body has arrived or will not be sent any more.
    """

    __slots__ = ('body_s', 'ends_at_s', 'is_over', 'send_at_s', 'starts_at_s')

    def __init__(self, starts_at_s: float, body_s: float) -> None:
        self.starts_at_s = starts_at_s
        self.body_s = body_s
        self.ends_at_s = starts_at_s + body_s
        self.send_at_s = self.ends_at_s - max(MAX_BACKLOG_S, body_s)
        self.is_over = False


class LinkSchedule:
    """Spans of bodies on a link, of which no two overlap.

    A body that arrives early leaves the link to other traffic for the rest
    of its span, so that bodies keep to their rate. One that is late delays
    later ones until it has arrived.

    Parameters
    ----------
    bytes_per_s : float
        Rate at which bodies may arrive, in bytes per second.
    """

    def __init__(self, bytes_per_s: float = math.inf) -> None:
        self._bytes_per_s = bytes_per_s
        self._spans: list[LinkSpan] = []

    def find_span(self, body_bytes: int, now_s: float) -> LinkSpan:
        """Return the earliest span for a body, which is not added yet.

        Parameters
        ----------
        body_bytes : int
            Size of the body, in bytes.
        now_s : float
            Time now, in seconds.
        """
        body_s = body_bytes / self._bytes_per_s
        self._spans = [
            span
            for span in self._spans
            if not span.is_over or span.ends_at_s > now_s
        ]
        free_at_s = now_s + sum(
            span.body_s for span in self._spans if span.ends_at_s <= now_s
        )
        for span in self._spans_after(now_s):
            if free_at_s + body_s <= span.starts_at_s:
                break
            begins_at_s = max(now_s, span.starts_at_s)
            free_at_s = max(free_at_s, begins_at_s)
            free_at_s += span.ends_at_s - begins_at_s
        return LinkSpan(free_at_s, body_s)

    def add(self, span: LinkSpan) -> None:
        """Add the span of a body that may be sent."""
        self._spans.append(span)
        self._spans.sort(key=attrgetter('starts_at_s'))

    def record_arrival(self, span: LinkSpan) -> None:
        """Record that a body has arrived; its span stays occupied."""
        span.is_over = True

    def cancel(self, span: LinkSpan, now_s: float) -> None:
        """Record that a body will not be sent any more.

        Its span is free for other bodies if it was not to be sent yet.

        Parameters
        ----------
        span : LinkSpan
            Span of the body.
        now_s : float
            Time now, in seconds.
        """
        span.is_over = True
        if now_s < span.send_at_s:
            self._spans.remove(span)

    def _spans_after(self, now_s: float) -> Iterator[LinkSpan]:
        return (span for span in self._spans if span.ends_at_s > now_s)
