"""Memory that the answers that a node reads at the same time share."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from loguru import logger

_log = logger.bind(part='upstream')

MAX_HELD_ANSWERS_BYTES = 33_554_432
"""Maximum size in bytes of the bodies of all answers that are being read: a
sixth of the smallest VM's memory, and that of four answers of maximum size."""


class HeldAnswer:
    """Body of one answer while it is being read.

    Parameters
    ----------
    budget : AnswerBudget
        Budget from which the memory is taken.
    abandon : callable
        Ends the reading of the answer.

    Attributes
    ----------
    body : bytearray
        Bytes read so far.
    is_abandoned : bool
        Whether the memory was taken away, so that the body is not complete.
    """

    def __init__(
        self, budget: 'AnswerBudget', abandon: Callable[[], None]
    ) -> None:
        self.body = bytearray()
        self.is_abandoned = False
        self._budget = budget
        self._abandon = abandon

    def add(self, block: bytes) -> None:
        """Add bytes; abandon the largest answers if all are too large.

        Parameters
        ----------
        block : bytes
            Next bytes of the body.
        """
        self.body += block
        self._budget.grow(len(block))

    def abandon(self) -> None:
        """Free the memory and end the reading."""
        self.is_abandoned = True
        self.body.clear()
        self._abandon()


class AnswerBudget:
    """Budget of the bodies of all answers that are being read.

    When it is used up, the largest answer is abandoned: it is the one that
    may have no end, and the others are likely to be complete soon.

    Parameters
    ----------
    max_held_bytes : int
        Maximum size of all bodies together, in bytes.

    Attributes
    ----------
    held_bytes : int
        Size of the bodies, in bytes.

    Examples
    --------
    >>> budget = AnswerBudget(max_held_bytes=10)
    >>> with budget.hold(lambda: print('large')) as large:
    ...     large.add(b'12345678')
    ...     with budget.hold(lambda: print('small')) as small:
    ...         small.add(b'123')
    ...         print(budget.held_bytes, large.is_abandoned)
    large
    3 True
    """

    def __init__(self, *, max_held_bytes: int = MAX_HELD_ANSWERS_BYTES) -> None:
        self.held_bytes = 0
        self._max_held_bytes = max_held_bytes
        self._held: list[HeldAnswer] = []

    @contextmanager
    def hold(self, abandon: Callable[[], None]) -> Iterator[HeldAnswer]:
        """Yield an empty body, whose memory is released at the end.

        Parameters
        ----------
        abandon : callable
            Ends the reading of the answer; the one that reads it notices.
        """
        held = HeldAnswer(self, abandon)
        self._held.append(held)
        try:
            yield held
        finally:
            if held in self._held:
                self._forget(held)
            # A traceback may keep the body alive.
            held.body.clear()

    def grow(self, size_bytes: int) -> None:
        """Count more bytes, and abandon answers until they fit.

        Parameters
        ----------
        size_bytes : int
            Number of bytes that were added to a body.
        """
        self.held_bytes += size_bytes
        while self.held_bytes > self._max_held_bytes:
            largest = max(self._held, key=_measure)
            _log.warning(
                'the answers being read take {} bytes, which is too many; '
                'abandoned one of {} bytes',
                self.held_bytes,
                len(largest.body),
            )
            self._forget(largest)
            largest.abandon()

    def _forget(self, held: HeldAnswer) -> None:
        self._held.remove(held)
        self.held_bytes -= len(held.body)


def _measure(held: HeldAnswer) -> int:
    return len(held.body)
