"""HTTP admin server of a node: status, metrics, owner lookup and drain."""

from verbenadeck.admin._gauges import make_status_gauges
from verbenadeck.admin._options import AdminOptions
from verbenadeck.admin._owners import (
    OwnerError,
    OwnerStatus,
    find_owner,
    make_owner_hint,
)
from verbenadeck.admin._server import (
    AdminError,
    AdminHandlers,
    AdminNotice,
    AdminServer,
)
from verbenadeck.admin._status import (
    MemberStatus,
    NodeIdentity,
    NodeStatus,
    StatusReader,
    UpstreamStatus,
    ZoneStatus,
    make_status_reader,
    make_upstream_status,
    member_statuses,
    zone_statuses,
)

__all__ = (
    'AdminError',
    'AdminNotice',
    'AdminOptions',
    'AdminServer',
    'AdminHandlers',
    'MemberStatus',
    'NodeIdentity',
    'NodeStatus',
    'OwnerError',
    'OwnerStatus',
    'StatusReader',
    'UpstreamStatus',
    'ZoneStatus',
    'find_owner',
    'make_owner_hint',
    'make_status_gauges',
    'make_status_reader',
    'member_statuses',
    'make_upstream_status',
    'zone_statuses',
)
