"""Order of the appends of each producer, in the store stand-in."""

from typing import Any, NamedTuple

_MAX_REPEATS = 5


class AppendNumber(NamedTuple):
    """Number of an append among those of its producer."""

    epoch: int
    sequence: int


class AppendAnswer(NamedTuple):
    """HTTP status and fields of the answer to an append."""

    status: int
    fields: dict[str, Any]


class ProducerHistory:
    """Last appends of one producer to a partition."""

    def __init__(self) -> None:
        self._answers: dict[AppendNumber, AppendAnswer] = {}

    def find_answer(self, number: AppendNumber) -> AppendAnswer | None:
        """Return the answer to a repeated or refused append, else None.

        Parameters
        ----------
        number : AppendNumber
            Number of the append.
        """
        if number in self._answers or not self._answers:
            return self._answers.get(number)
        last = next(reversed(self._answers))
        if number.epoch < last.epoch:
            return AppendAnswer(409, {'why': 'fenced'})
        if number.epoch == last.epoch and number.sequence != last.sequence + 1:
            return AppendAnswer(
                409, {'why': 'seq', 'sequence': last.sequence + 1}
            )
        return None

    def record(self, number: AppendNumber, answer: AppendAnswer) -> None:
        """Record the answer to an append that took effect.

        Parameters
        ----------
        number : AppendNumber
            Number of the append.
        answer : AppendAnswer
            Its answer.
        """
        self._answers[number] = answer
        if len(self._answers) > _MAX_REPEATS:
            self._answers.pop(next(iter(self._answers)))
