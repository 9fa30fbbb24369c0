"""Command of the stand-ins: `python -m verbenadeck.standins log|upstream`."""

import asyncio
import sys
import uuid
from collections.abc import Callable, Coroutine, Mapping
from types import MappingProxyType
from typing import Any

import uvloop
from absl import app, flags
from loguru import logger

from verbenadeck.standins import (
    LogStore,
    Overrun,
    UpstreamOptions,
    UpstreamState,
    announce_for_ever,
    announce_listening,
    crash,
    end_event,
    make_log_app,
    make_upstream_app,
    start_app,
)
from verbenadeck.utils import Clock

_HOST = flags.DEFINE_string('host', '127.0.0.1', 'IP address to listen on.')
_PORT = flags.DEFINE_integer('port', 0, 'TCP port; 0 takes any free port.')
_LIFETIME_S = flags.DEFINE_float('lifetime_s', 600, 'End after this time.')
_KEEP_S = flags.DEFINE_float('keep_s', 3600, 'Age at which records go.')
_KEEP_COUNT = flags.DEFINE_integer('keep_count', 1_000_000, 'Records kept.')
_ANNOUNCE_URL = flags.DEFINE_string('announce_url', '', "Node's URL.")
_SERVICE = flags.DEFINE_string('service', 'catalogue', 'Service.')
_IS_KEYED = flags.DEFINE_bool('is_keyed', False, 'Orders need a grant.')
_SLOTS = flags.DEFINE_integer('slots', 20, 'Requests at once when warm.')
_CONNECTIONS = flags.DEFINE_integer('connections', 110, 'Connections.')
_COLD_SLOTS = flags.DEFINE_integer('cold_slots', 2, 'Slots when cold.')
_WARM_UP_S = flags.DEFINE_float('warm_up_s', 0, 'Time from cold to warm.')
_OVERRUN = flags.DEFINE_enum_class(
    'overrun', Overrun.REFUSE, Overrun, 'What a cold upstream does.'
)
_SERVICE_TIME_S = flags.DEFINE_float('service_time_s', 0.005, 'Median time.')
_SPREAD = flags.DEFINE_float('spread', 0.4, 'Sigma of service times.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of service times.')
_POISON = flags.DEFINE_string('poison', '', 'Text in a path that crashes.')


async def _run_log() -> None:
    clock = Clock()
    store = LogStore(
        now_s=clock.now_s,
        keep_s=_KEEP_S.value,
        keep_count=_KEEP_COUNT.value,
    )
    started = await start_app(
        make_log_app(store), host=_HOST.value, port=_PORT.value
    )
    ended = end_event(_LIFETIME_S.value)
    announce_listening(started.listening)
    await ended.wait()
    await started.runner.cleanup()


async def _run_upstream() -> None:
    clock = Clock()
    state = UpstreamState(_options(), clock=clock, crash=crash)
    started = await start_app(
        make_upstream_app(state, clock), host=_HOST.value, port=_PORT.value
    )
    ended = end_event(_LIFETIME_S.value)
    announce_listening(started.listening)
    announcing = asyncio.ensure_future(
        announce_for_ever(
            state,
            url=_ANNOUNCE_URL.value,
            host=started.listening.host,
            port=started.listening.port,
        )
    )
    await ended.wait()
    announcing.cancel()
    await started.runner.cleanup()


def _options() -> UpstreamOptions:
    return UpstreamOptions(
        service=_SERVICE.value,
        instance=uuid.uuid4().hex,
        is_keyed=_IS_KEYED.value,
        slots=_SLOTS.value,
        connections=_CONNECTIONS.value,
        cold_slots=_COLD_SLOTS.value,
        warm_up_s=_WARM_UP_S.value,
        overrun=_OVERRUN.value,
        service_time_s=_SERVICE_TIME_S.value,
        spread=_SPREAD.value,
        seed=_SEED.value,
        poison=_POISON.value,
    )


_Runner = Callable[[], Coroutine[Any, Any, None]]
_RUNNERS: Mapping[str, _Runner] = MappingProxyType(
    {
        'log': _run_log,
        'upstream': _run_upstream,
    }
)


def main(argv: list[str]) -> None:
    """Run the stand-in that the command line names."""
    names = argv[1:]
    if len(names) != 1 or names[0] not in _RUNNERS:
        raise app.UsageError('name one stand-in: log or upstream')
    logger.remove()
    logger.add(sys.stderr, level='INFO')
    uvloop.run(_RUNNERS[names[0]]())


if __name__ == '__main__':
    app.run(main)
