"""Problems found in a document, all reported together."""

import msgspec

FieldPath = tuple[str | int, ...]


class SettingsProblem(msgspec.Struct, frozen=True, order=True):
    """One problem at one place of a document.

    Parameters
    ----------
    path : tuple of str or int
        Names and indexes that lead to the place; empty for the whole.
    text : str
        What is wrong and what is wanted.

    Examples
    --------
    >>> SettingsProblem(('log', 'url'), 'is missing').where
    'log.url'
    """

    path: FieldPath
    text: str

    @property
    def where(self) -> str:
        """Return the path as people write it."""
        parts = (
            f'[{part}]' if isinstance(part, int) else f'.{part}'
            for part in self.path
        )
        return ''.join(parts).removeprefix('.')

    def under(self, *parent: str | int) -> 'SettingsProblem':
        """Return the problem as seen from an enclosing document."""
        return SettingsProblem((*parent, *self.path), self.text)


class SettingsErrors(msgspec.Struct, frozen=True):
    """All problems of one file.

    Parameters
    ----------
    source : str
        Name of the file.
    problems : tuple of SettingsProblem
        Problems in the order of the file where lines are known.
    lines : tuple of int
        Line of each problem, from 1; 0 when it has none.

    Examples
    --------
    >>> one = SettingsProblem(('zone',), 'is missing')
    >>> print(SettingsErrors('a.json', (one,), (3,)))
    a.json:3: zone: is missing
    """

    source: str
    problems: tuple[SettingsProblem, ...]
    lines: tuple[int, ...]

    def __str__(self) -> str:
        """Return one line per problem."""
        placed = zip(self.problems, self.lines, strict=True)
        return '\n'.join(self._line_of(one, line) for one, line in placed)

    def _line_of(self, problem: SettingsProblem, line: int) -> str:
        source = f'{self.source}:{line}' if line else self.source
        parts = (source, problem.where, problem.text)
        return ': '.join(part for part in parts if part)
