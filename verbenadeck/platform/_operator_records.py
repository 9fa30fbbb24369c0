"""Application of operators' records to the routes in force."""

from collections.abc import Mapping

from loguru import logger
from returns.result import Failure, Success

from verbenadeck.journal import RecordsHandler, RecordsKind
from verbenadeck.model import Zone
from verbenadeck.platform._frames import split_record
from verbenadeck.platform._operator import read_operator_state
from verbenadeck.routes import RouteStore

_CONFIG_KEY = 'config'
_EVACUATION_PREFIX = 'evacuate/'

_log = logger.bind(part='operators')


def make_records_handler(route_store: RouteStore) -> RecordsHandler:
    """Return a function that applies operators' records to a route store.

    Parameters
    ----------
    route_store : RouteStore
        Receives each new state.
    """
    contents_by_key: dict[str, bytes] = {}

    def handle_records(records: tuple[bytes, ...], kind: RecordsKind) -> None:
        contents = dict(map(split_record, records))
        if kind is RecordsKind.OLDER_SNAPSHOT and not _is_newer(
            contents.get(_CONFIG_KEY), contents_by_key.get(_CONFIG_KEY)
        ):
            # What is in force stays so until the operator has written again.
            return
        if kind is not RecordsKind.FOLLOWING:
            contents_by_key.clear()
        contents_by_key.update(contents)
        for key in contents:
            if not contents[key]:
                contents_by_key.pop(key)
        _update_route_store(contents_by_key, route_store)

    return handle_records


def _is_newer(content: bytes | None, known: bytes | None) -> bool:
    """Return whether a configuration record is newer than a known one."""
    states = (
        None
        if each is None
        else read_operator_state(each, frozenset()).value_or(None)
        for each in (content, known)
    )
    found, in_force = states
    if in_force is None:
        return True
    return found is not None and found.version > in_force.version


def _update_route_store(
    contents_by_key: Mapping[str, bytes], route_store: RouteStore
) -> None:
    content = contents_by_key.get(_CONFIG_KEY)
    if content is None:
        return
    zones = (
        Zone(key.removeprefix(_EVACUATION_PREFIX))
        for key in contents_by_key
        if key.startswith(_EVACUATION_PREFIX)
    )
    match read_operator_state(content, frozenset(zones)):
        case Success(state):
            route_store.update(state)
        case Failure(error):
            _log.error(
                'malformed configuration ignored, the previous one stays '
                'in force: {}',
                error.detail,
            )
