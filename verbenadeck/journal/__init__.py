"""Log client: appends, tailing, checkpoints and relaying."""

from verbenadeck.journal._client import JournalOptions, LogClient
from verbenadeck.journal._port import (
    Applied,
    Journal,
    JournalError,
    JournalFailure,
)

__all__ = (
    'Applied',
    'Journal',
    'JournalError',
    'JournalFailure',
    'JournalOptions',
    'LogClient',
)
