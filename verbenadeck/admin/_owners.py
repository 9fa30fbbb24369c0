"""Answers to the question who owns a key."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters import OwnerHint
from verbenadeck.fleet import FleetView, Member, ShardView, shard_of
from verbenadeck.model import NodeId, Request, ServiceName, Shard


class OwnerStatus(msgspec.Struct, frozen=True):
    """Owner of a key.

    Parameters
    ----------
    service : ServiceName
        Service divided by key.
    key : str
        Key.
    shard, shard_count : int
        Shard of the key and number of shards.
    fence : int
        Fence of the assignment, -1 before the first.
    node_id : NodeId or None
        Named owner, None when the shard has none.
    host : str
        IP address of the owner.
    entry_port : int
        Port of the owner for callers.
    is_settled : bool
        Whether all earlier owners released the shard; False while it moves.
    """

    service: ServiceName
    key: str
    shard: int
    shard_count: int
    fence: int
    node_id: NodeId | None
    host: str = ''
    entry_port: int = 0
    is_settled: bool = True


class OwnerError(msgspec.Struct, frozen=True):
    """There is no owner to tell.

    Parameters
    ----------
    status : int
        HTTP status: 400 for a bad question, 404 for an unknown service.
    detail : str
        What is wrong.
    """

    status: int
    detail: str


HeaderPairs = tuple[tuple[str, str], ...]

_BAD_REQUEST = 400
_NOT_FOUND = 404
_KEY_LIMIT = 1000


def find_owner(
    fleet: FleetView, service: str, key: str
) -> Result[OwnerStatus, OwnerError]:
    """Return the owner of a key as the log has it.

    Parameters
    ----------
    fleet : FleetView
        State derived from the log.
    service, key : str
        Service divided by key, and the key.
    """
    name = ServiceName(service)
    fault = _fault(fleet, name, key)
    if fault is not None:
        return Failure(fault)
    shard_count = fleet.shard_count(name)
    shard = shard_of(key, shard_count)
    view = fleet.shard(name, shard)
    return Success(
        _owner_status(name, key, (shard, shard_count), view, fleet),
    )


def make_owner_hint(
    fleet: FleetView, write_owner_hint: Callable[[OwnerHint], tuple[str, str]]
) -> Callable[[Request], HeaderPairs]:
    """Return a function that gives the headers of a hint to the owner.

    Parameters
    ----------
    fleet : FleetView
        State derived from the log.
    write_owner_hint : callable
        Writes a hint in the callers' vocabulary.
    """

    def owner_hint(request: Request) -> HeaderPairs:
        shard_count = fleet.shard_count(request.service)
        if request.key is None or not shard_count:
            return ()
        shard = shard_of(request.key, shard_count)
        view = fleet.shard(request.service, shard)
        owner = fleet.members.get(view.owner)
        if owner is None:
            return ()
        host = owner.address.host
        hint = OwnerHint(host, owner.entry_port, shard_count)
        return (write_owner_hint(hint),)

    return owner_hint


def _fault(
    fleet: FleetView, service: ServiceName, key: str
) -> OwnerError | None:
    policy = fleet.config.services.get(service)
    if policy is None:
        return OwnerError(_NOT_FOUND, f'service {service!r} is unknown')
    if not policy.is_keyed:
        text = f'service {service!r} is not divided by key'
        return OwnerError(_BAD_REQUEST, text)
    if not 0 < len(key) <= _KEY_LIMIT:
        text = f'a key has from 1 to {_KEY_LIMIT} characters'
        return OwnerError(_BAD_REQUEST, text)
    if not fleet.shard_count(service):
        return OwnerError(_NOT_FOUND, f'service {service!r} has no shards')
    return None


def _owner_status(
    service: ServiceName,
    key: str,
    place: tuple[Shard, int],
    view: ShardView,
    fleet: FleetView,
) -> OwnerStatus:
    owner: Member | None = fleet.members.get(view.owner)
    return OwnerStatus(
        service=service,
        key=key,
        shard=place[0],
        shard_count=place[1],
        fence=view.fence,
        node_id=None if owner is None else owner.node_id,
        host='' if owner is None else owner.address.host,
        entry_port=0 if owner is None else owner.entry_port,
        is_settled=not view.earlier_owners,
    )
