"""Types and codec of the log records."""

from verbenadeck.records._codec import (
    FORMAT_VERSION,
    CodecError,
    decode_envelope,
    encode_envelope,
)
from verbenadeck.records._era_records import (
    ClaimsClosed,
    EraStart,
    HoldClaim,
)
from verbenadeck.records._node_records import (
    LeavePhase,
    NodeJoin,
    NodeLeave,
    UpstreamLeave,
)
from verbenadeck.records._ranges import ReleasedRange
from verbenadeck.records._records import (
    Assign,
    CheckpointChunk,
    ConfigPublished,
    Envelope,
    Record,
    Released,
    ShardMove,
    Suspect,
    Verdict,
    Vote,
    Witnesses,
)

__all__ = (
    'FORMAT_VERSION',
    'Assign',
    'CheckpointChunk',
    'ClaimsClosed',
    'CodecError',
    'ConfigPublished',
    'Envelope',
    'EraStart',
    'HoldClaim',
    'LeavePhase',
    'NodeJoin',
    'NodeLeave',
    'Record',
    'Released',
    'ReleasedRange',
    'ShardMove',
    'Suspect',
    'UpstreamLeave',
    'Verdict',
    'Vote',
    'Witnesses',
    'decode_envelope',
    'encode_envelope',
)
