"""Identifier types that the subpackages share."""

from typing import NewType

NodeId = NewType('NodeId', str)
"""Name of a node, stable over restarts, from its settings."""

Incarnation = NewType('Incarnation', int)
"""One life of a node: the log offset of its `NodeJoin` record."""

Zone = NewType('Zone', str)
"""Name of an availability zone."""

Region = NewType('Region', str)
"""Name of a region, a group of availability zones."""

ServiceName = NewType('ServiceName', str)
"""Name of a service that upstreams provide."""

Shard = NewType('Shard', int)
"""Index of a shard within its service, from 0."""

Fence = NewType('Fence', int)
"""Fencing token of a shard: the log offset of its `Assign` record."""

Offset = NewType('Offset', int)
"""Position of a record in the platform's log."""

Epoch = NewType('Epoch', int)
"""Witness set of a member: offset of the record that installed it."""

ConfigVersion = NewType('ConfigVersion', int)
"""Version of the configuration document; 0 before the first one."""

WriterId = NewType('WriterId', str)
"""Identity of one process that appends to the log."""

RequestId = NewType('RequestId', str)
"""Idempotency key of a caller's request."""

AttemptId = NewType('AttemptId', str)
"""Identity of one attempt by an entry to have a request answered."""

NO_MEMBER = Incarnation(-1)
"""Stands for no owner in the flat shard arrays."""

NO_FENCE = Fence(-1)
"""Fence of a shard that was never assigned."""
