"""Identifier types that the subpackages share."""

from typing import NewType

NodeId = NewType('NodeId', str)
"""Name of a node, from its settings; does not change when it restarts."""

Incarnation = NewType('Incarnation', int)
"""Run of a node between joining and leaving: offset of its `NodeJoin` record."""

Zone = NewType('Zone', str)
"""Name of an availability zone."""

Region = NewType('Region', str)
"""Name of a region, a group of availability zones."""

ServiceName = NewType('ServiceName', str)
"""Name of a service that upstreams provide."""

Shard = NewType('Shard', int)
"""Index of a shard within its service, from 0."""

Fence = NewType('Fence', int)
"""Fencing token of a shard: the log offset of its `Assign` record, or of a
later record that raised it."""

Era = NewType('Era', int)
"""Number of a log's history, from 0; it rises when the log has come back from
a backup and lost its newest records."""

Offset = NewType('Offset', int)
"""Position of a record in the log: its era in the upper bits, its index below.

Adapters and relays count records by index alone, which is the position in era
0."""

Epoch = NewType('Epoch', int)
"""Version of a member's witness set: offset of the record that installed it."""

ConfigVersion = NewType('ConfigVersion', int)
"""Version of the configuration document; 0 before the first document."""

WriterId = NewType('WriterId', str)
"""Id of a process that appends to the log."""

RequestId = NewType('RequestId', str)
"""Idempotency key of a caller's request."""

AttemptId = NewType('AttemptId', str)
"""Id of one attempt of an entry server to have a request answered."""

NO_MEMBER = Incarnation(-1)
"""Owner of a shard that has none."""

NO_FENCE = Fence(-1)
"""Fence of a shard that has never been assigned."""
