"""Application of operators' records to the routes in force."""

import random
from collections.abc import Iterable

from loguru import logger
from returns.result import Failure, Success

from verbenadeck.adapters import LogAdapter
from verbenadeck.journal import (
    ReadOptions,
    RecordsHandler,
    RecordsKind,
    SourcePlanner,
    StreamFollower,
)
from verbenadeck.model import Zone
from verbenadeck.peers import PeerTransport
from verbenadeck.platform._frames import split_record
from verbenadeck.platform._operator import read_operator_state
from verbenadeck.routes import OperatorState, RouteStore
from verbenadeck.utils import Clock

_CONFIG_KEY = 'config'
_EVACUATION_PREFIX = 'evacuate/'

_log = logger.bind(part='operators')


def make_operator_follower(
    *,
    adapter: LogAdapter,
    clock: Clock,
    random_source: random.Random,
    transport: PeerTransport,
    planner: SourcePlanner,
    options: ReadOptions,
    route_store: RouteStore,
) -> StreamFollower:
    """Return a follower that applies operators' records to a route store.

    Parameters
    ----------
    adapter : LogAdapter
        Client for the topic that operators write to.
    clock : Clock
        Monotonic clock of this VM.
    random_source : random.Random
        Source of retry jitter and of the choice of peers.
    transport : PeerTransport
        Transport to other nodes.
    planner : SourcePlanner
        Plans the sources to read from.
    options : ReadOptions
        Options of reading the topic.
    route_store : RouteStore
        Receives each new state.
    """
    return StreamFollower(
        adapter=adapter,
        clock=clock,
        random_source=random_source,
        transport=transport,
        planner=planner,
        options=options,
        split_record=split_record,
        on_records=make_records_handler(route_store),
    )


def make_records_handler(route_store: RouteStore) -> RecordsHandler:
    """Return a function that applies operators' records to a route store.

    Parameters
    ----------
    route_store : RouteStore
        Receives each new state.
    """
    contents_by_key: dict[str, bytes] = {}

    def handle_records(records: tuple[bytes, ...], kind: RecordsKind) -> None:
        in_force = contents_by_key.get(_CONFIG_KEY)
        if kind is RecordsKind.SNAPSHOT:
            contents_by_key.clear()
        contents_by_key.update(map(split_record, records))
        for key in tuple(contents_by_key):
            if not contents_by_key[key]:
                contents_by_key.pop(key)
        content = _choose_config(contents_by_key.get(_CONFIG_KEY), in_force)
        if content is not None:
            contents_by_key[_CONFIG_KEY] = content
            _update_route_store(content, contents_by_key, route_store)

    return handle_records


def _choose_config(found: bytes | None, in_force: bytes | None) -> bytes | None:
    """Return the configuration record to use; its version never falls."""
    if found is None or found == in_force:
        return in_force
    match read_operator_state(found, frozenset()):
        case Success(state):
            return in_force if _is_older(state, in_force) else found
        case Failure(error):
            _log.error(
                'malformed configuration ignored, the previous one stays '
                'in force: {}',
                error.detail,
            )
    return in_force


def _is_older(state: OperatorState, in_force: bytes | None) -> bool:
    if in_force is None:
        return False
    known = read_operator_state(in_force, frozenset()).value_or(None)
    if known is None or state.version >= known.version:
        return False
    _log.warning(
        'ignoring configuration {}, as {} is in force',
        state.version,
        known.version,
    )
    return True


def _update_route_store(
    content: bytes, keys: Iterable[str], route_store: RouteStore
) -> None:
    zones = frozenset(
        Zone(key.removeprefix(_EVACUATION_PREFIX))
        for key in keys
        if key.startswith(_EVACUATION_PREFIX)
    )
    route_store.update(read_operator_state(content, zones).unwrap())
