"""Log client: appending, tailing, checkpoints and relaying between nodes."""

from verbenadeck.journal._appender import AppendOptions
from verbenadeck.journal._checkpointer import Checkpointer, CheckpointOptions
from verbenadeck.journal._client import JournalOptions, LogClient
from verbenadeck.journal._follower import TailError
from verbenadeck.journal._interface import (
    AppliedRecord,
    Journal,
    JournalError,
    JournalFailure,
)
from verbenadeck.journal._messages import MESSAGE_TYPES
from verbenadeck.journal._reader import ReadOptions
from verbenadeck.journal._sources import SourcePlanner
from verbenadeck.journal._stream import (
    RecordsHandler,
    RecordsKind,
    StreamFollower,
)
from verbenadeck.journal._stream_state import RecordSplitter
from verbenadeck.journal._waiters import completes_by

__all__ = (
    'MESSAGE_TYPES',
    'AppendOptions',
    'AppliedRecord',
    'CheckpointOptions',
    'Checkpointer',
    'Journal',
    'JournalError',
    'JournalFailure',
    'JournalOptions',
    'LogClient',
    'ReadOptions',
    'RecordSplitter',
    'SourcePlanner',
    'StreamFollower',
    'TailError',
    'RecordsHandler',
    'RecordsKind',
    'completes_by',
)
