"""Records of the log."""

from verbenadeck.records._records import (
    Assign,
    CheckpointChunk,
    ConfigPublished,
    Envelope,
    LeavePhase,
    NodeJoin,
    NodeLeave,
    Record,
    Released,
    ReleasedRange,
    ShardMove,
    Suspect,
    Verdict,
    Vote,
    Witnesses,
)

__all__ = (
    'Assign',
    'CheckpointChunk',
    'ConfigPublished',
    'Envelope',
    'LeavePhase',
    'NodeJoin',
    'NodeLeave',
    'Record',
    'Released',
    'ReleasedRange',
    'ShardMove',
    'Suspect',
    'Verdict',
    'Vote',
    'Witnesses',
)
