"""Texts that upstreams hand over with ranges of keys."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from verbenadeck.adapters import KeyHandover

_MAX_TEXT_LENGTH = 200
_MAX_TEXTS = 4096
_KeyRange = tuple[int, int]


class HandoverTexts:
    """Texts by range of keys; the oldest ones are dropped beyond a limit.

    Without its text, a range of keys is slow for a while at its next holder.

    Parameters
    ----------
    key_space : int
        Number of keys; ranges beyond it are not kept.
    """

    def __init__(self, key_space: int) -> None:
        self._key_space = key_space
        self._texts: dict[_KeyRange, str] = {}

    @property
    def by_range(self) -> Mapping[_KeyRange, str]:
        """Texts by first and last key."""
        return MappingProxyType(self._texts)

    def add(self, handovers: Iterable[KeyHandover]) -> None:
        """Add texts; those that can't be valid are left out.

        Parameters
        ----------
        handovers : iterable of KeyHandover
            Texts with their ranges of keys.
        """
        for each in handovers:
            is_range = 0 <= each.first_key <= each.last_key
            is_within = is_range and each.last_key < self._key_space
            if is_within and len(each.text) <= _MAX_TEXT_LENGTH:
                keys = (each.first_key, each.last_key)
                self._texts.pop(keys, None)
                self._texts[keys] = each.text
        while len(self._texts) > _MAX_TEXTS:
            self._texts.pop(next(iter(self._texts)))

    def discard(self, keys: _KeyRange) -> None:
        """Remove the text of a range, if there is one.

        Parameters
        ----------
        keys : (int, int)
            First and last key.
        """
        self._texts.pop(keys, None)

    def pop_within(self, first_key: int, stop_key: int) -> list[KeyHandover]:
        """Remove and return the texts of the ranges within a larger one.

        Parameters
        ----------
        first_key, stop_key : int
            First key, and one past the last key.
        """
        within = [
            keys
            for keys in self._texts
            if first_key <= keys[0] and keys[1] < stop_key
        ]
        return [KeyHandover(*keys, self._texts.pop(keys)) for keys in within]

    def clear(self) -> None:
        """Remove all texts."""
        self._texts.clear()
