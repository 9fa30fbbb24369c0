"""Era of the store, which rises when it comes back from a backup."""

from collections.abc import Callable, Mapping

from loguru import logger

from verbenadeck.model import MAX_ERA, Era
from verbenadeck.utils import ignore_name

ERA_HEADER = 'Store-Era'
"""Header of all answers of the store with the number of its era."""

_log = logger.bind(part='store')


class StoreEras:
    """Highest era that any answer of the store has named.

    Parameters
    ----------
    count : callable
        Adds one to the counter with the given name.

    Attributes
    ----------
    newest : Era
        The era; 0 for a store that names none.
    """

    def __init__(self, count: Callable[[str], None] = ignore_name) -> None:
        self.newest = Era(0)
        self._count = count

    def admit(self, headers: Mapping[str, str]) -> Era | None:
        """Note and return the era of an answer, None if it is an earlier one.

        An answer without a valid era is admitted only from a store that has
        never named one: it may be from before the store came back.

        Parameters
        ----------
        headers : mapping of str to str
            Headers of the answer.
        """
        era = _read_era(headers.get(ERA_HEADER, ''))
        if era > self.newest:
            _log.info('the store is in era {}, after {}', era, self.newest)
            self.newest = era
            self._count('store_eras')
        if era == self.newest:
            return era
        self._count('store_answers_of_other_eras')
        _log.warning(
            'ignoring an answer of the store from era {!r}, since it is in '
            'era {}',
            headers.get(ERA_HEADER),
            self.newest,
        )
        return None


def _read_era(text: str) -> Era:
    """Return the era in a header, 0 if it is malformed."""
    if not text.isascii() or not text.isdigit() or len(text) > _MAX_DIGITS:
        return Era(0)
    era = int(text)
    return Era(era) if era <= MAX_ERA else Era(0)


_MAX_DIGITS = len(str(MAX_ERA))
