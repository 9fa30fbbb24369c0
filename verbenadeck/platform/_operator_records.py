"""Application of operators' records to the routes in force."""

import functools

import msgspec
from loguru import logger
from returns.pipeline import is_successful

from verbenadeck.journal import RecordsHandler, RecordsKind, StreamFollower
from verbenadeck.model import Zone
from verbenadeck.platform._frames import split_record
from verbenadeck.platform._operator import read_operator_state
from verbenadeck.routes import OperatorState, RouteStore

_CONFIG_KEY = 'config'
_EVACUATION_PREFIX = 'evacuate/'

_log = logger.bind(part='operators')

make_operator_follower = functools.partial(
    StreamFollower, split_record=split_record
)
"""Makes a follower of the topic that operators write to."""


def make_records_handler(route_store: RouteStore) -> RecordsHandler:
    """Return a function that applies operators' records to a route store.

    Parameters
    ----------
    route_store : RouteStore
        Receives each new state.
    """
    contents_by_key: dict[str, bytes] = {}

    def handle_records(records: tuple[bytes, ...], kind: RecordsKind) -> None:
        if kind is RecordsKind.SNAPSHOT:
            contents_by_key.clear()
        contents = dict(map(split_record, records))
        contents_by_key.update(contents)
        for key in contents:
            if not contents[key]:
                contents_by_key.pop(key)
        state = _choose_state(
            contents_by_key.get(_CONFIG_KEY), route_store.state
        )
        if state is not None:
            zones_out = frozenset(
                Zone(key.removeprefix(_EVACUATION_PREFIX))
                for key in contents_by_key
                if key.startswith(_EVACUATION_PREFIX)
            )
            route_store.update(
                msgspec.structs.replace(state, zones_out=zones_out)
            )

    return handle_records


def _choose_state(
    content: bytes | None, in_force: OperatorState | None
) -> OperatorState | None:
    """Return the state in a configuration record, or a newer one in force.

    Evacuations have records of their own, and change also when the
    configuration that comes with them is malformed or an older one.
    """
    if content is None:
        return in_force
    found = read_operator_state(content, frozenset())
    if not is_successful(found):
        _log.error(
            'malformed configuration ignored, the previous one stays in force: {}',
            found.failure().detail,
        )
        return in_force
    state = found.unwrap()
    if in_force is not None and state.version < in_force.version:
        _log.warning(
            'ignoring configuration {}, as {} is in force',
            state.version,
            in_force.version,
        )
        return in_force
    return state
