"""Problems found in a configuration document."""

import msgspec


class ConfigProblem(msgspec.Struct, frozen=True, order=True):
    """Problem in a configuration document.

    Parameters
    ----------
    path : str
        Path of the invalid member, such as ``services.holds.queue_limit``.
    detail : str
        Short description of what is wrong.
    """

    path: str
    detail: str

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        return f'{self.path}: {self.detail}'
