"""Problems found in a configuration document."""

import msgspec


class ConfigProblem(msgspec.Struct, frozen=True, order=True):
    """One thing that is wrong with a document.

    Parameters
    ----------
    path : str
        Where it stands, as in ``services.holds.queue_limit``.
    detail : str
        What is wrong, in a few words.
    """

    path: str
    detail: str

    def __str__(self) -> str:
        """Return the problem as one line for people."""
        return f'{self.path}: {self.detail}'
