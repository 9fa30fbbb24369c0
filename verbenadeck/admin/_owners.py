"""Lookup of the node that owns a key."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters import OwnerHint
from verbenadeck.fleet import FleetView, Member, ShardView, shard_of
from verbenadeck.model import NodeId, Request, ServiceName, Shard


class OwnerStatus(msgspec.Struct, frozen=True):
    """Owner of a key; JSON body of a successful owner lookup.

    Parameters
    ----------
    service : ServiceName
        Service that is sharded by key.
    key : str
        Key that was looked up.
    shard, shard_count : int
        Shard of the key and number of shards of the service.
    fence : int
        Fence of the current assignment, -1 before the first assignment.
    node_id : NodeId or None
        Node that the log names as owner, None when the shard has no owner.
    host : str
        IP address of the owner, empty without an owner.
    entry_port : int
        TCP port on which the owner accepts requests of callers, 0 without
        an owner.
    is_settled : bool
        Whether all earlier owners have released the shard; False while the
        shard is being moved.
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
    """Failure of an owner lookup.

    Parameters
    ----------
    status : int
        HTTP status: 400 for an invalid query, 404 for an unknown service or
        a service without shards.
    detail : str
        Reason of the failure, for operators.
    """

    status: int
    detail: str


HeaderPairs = tuple[tuple[str, str], ...]

_BAD_REQUEST = 400
_NOT_FOUND = 404
_MAX_KEY_CHARACTERS = 1000


def find_owner(
    fleet: FleetView, service: str, key: str
) -> Result[OwnerStatus, OwnerError]:
    """Return the owner of a key according to the log.

    Parameters
    ----------
    fleet : FleetView
        Fleet state derived from the log.
    service, key : str
        Name of a service that is sharded by key, and the key.

    Returns
    -------
    Result of OwnerStatus or OwnerError
        The owner, or why the lookup is invalid. A shard without an owner is
        a success whose `node_id` is None.
    """
    name = ServiceName(service)
    lookup_error = _find_lookup_error(fleet, name, key)
    if lookup_error is not None:
        return Failure(lookup_error)
    shard_count = fleet.shard_count(name)
    shard = shard_of(key, shard_count)
    view = fleet.shard(name, shard)
    return Success(
        _make_owner_status(name, key, (shard, shard_count), view, fleet),
    )


def make_owner_hint(
    fleet: FleetView, write_owner_hint: Callable[[OwnerHint], tuple[str, str]]
) -> Callable[[Request], HeaderPairs]:
    """Return a function that makes response headers naming the owner.

    Parameters
    ----------
    fleet : FleetView
        Fleet state derived from the log.
    write_owner_hint : callable
        Converts a hint to a header in the wire format of the callers.

    Returns
    -------
    callable
        Returns the headers for a request; none if the request has no key,
        its service has no shards or the shard has no owner.
    """

    def make_hint_headers(request: Request) -> HeaderPairs:
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

    return make_hint_headers


def _find_lookup_error(
    fleet: FleetView, service: ServiceName, key: str
) -> OwnerError | None:
    policy = fleet.config.services.get(service)
    if policy is None:
        return OwnerError(_NOT_FOUND, f'service {service!r} is unknown')
    if not policy.is_keyed:
        text = f'service {service!r} is not divided by key'
        return OwnerError(_BAD_REQUEST, text)
    if not 0 < len(key) <= _MAX_KEY_CHARACTERS:
        text = f'a key has from 1 to {_MAX_KEY_CHARACTERS} characters'
        return OwnerError(_BAD_REQUEST, text)
    if not fleet.shard_count(service):
        return OwnerError(_NOT_FOUND, f'service {service!r} has no shards')
    return None


def _make_owner_status(
    service: ServiceName,
    key: str,
    shard_and_count: tuple[Shard, int],
    view: ShardView,
    fleet: FleetView,
) -> OwnerStatus:
    owner: Member | None = fleet.members.get(view.owner)
    return OwnerStatus(
        service=service,
        key=key,
        shard=shard_and_count[0],
        shard_count=shard_and_count[1],
        fence=view.fence,
        node_id=None if owner is None else owner.node_id,
        host='' if owner is None else owner.address.host,
        entry_port=0 if owner is None else owner.entry_port,
        is_settled=not view.earlier_owners,
    )
