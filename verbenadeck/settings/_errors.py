"""Problems of a settings document, all reported together."""

import msgspec

FieldPath = tuple[str | int, ...]
"""Names and list indexes that lead from the document to a value."""


class SettingsProblem(msgspec.Struct, frozen=True, order=True):
    """Problem of one value in a document.

    Parameters
    ----------
    path : tuple of str or int
        Names and indexes that lead to the value; empty for the whole document.
    text : str
        Description of what is wrong and what is expected.

    Examples
    --------
    >>> SettingsProblem(('log', 'url'), 'is missing').where
    'log.url'
    """

    path: FieldPath
    text: str

    @property
    def where(self) -> str:
        """Path in dotted notation, such as ``log.url`` or ``ports[0]``."""
        parts = (
            f'[{part}]' if isinstance(part, int) else f'.{part}'
            for part in self.path
        )
        return ''.join(parts).removeprefix('.')

    def under(self, *parent: str | int) -> 'SettingsProblem':
        """Return the problem with its path extended by an enclosing object.

        Parameters
        ----------
        *parent : str or int
            Path of the enclosing object.
        """
        return SettingsProblem((*parent, *self.path), self.text)


class SettingsErrors(msgspec.Struct, frozen=True):
    """All problems of one file.

    Parameters
    ----------
    source : str
        Name of the file.
    problems : tuple of SettingsProblem
        Problems, ordered by line and then by path.
    lines : tuple of int
        Line number of each problem, from 1; 0 when the line is unknown.

    Examples
    --------
    >>> problem = SettingsProblem(('zone',), 'is missing')
    >>> print(SettingsErrors('a.json', (problem,), (3,)))
    a.json:3: zone: is missing
    """

    source: str
    problems: tuple[SettingsProblem, ...]
    lines: tuple[int, ...]

    def __str__(self) -> str:
        """Return one line of text per problem."""
        located = zip(self.problems, self.lines, strict=True)
        return '\n'.join(
            self._format_problem(problem, line) for problem, line in located
        )

    def _format_problem(self, problem: SettingsProblem, line: int) -> str:
        source = f'{self.source}:{line}' if line else self.source
        parts = (source, problem.where, problem.text)
        return ': '.join(part for part in parts if part)
