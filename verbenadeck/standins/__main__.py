"""Command that runs a stand-in: `python -m verbenadeck.standins log|upstream`."""

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
    announce_periodically,
    crash,
    create_shutdown_event,
    make_log_app,
    make_upstream_app,
    print_listen_address,
    start_app,
)
from verbenadeck.utils import Clock

_HOST = flags.DEFINE_string('host', '127.0.0.1', 'IP address to listen on.')
_PORT = flags.DEFINE_integer('port', 0, 'TCP port; 0 takes any free port.')
_LIFETIME_S = flags.DEFINE_float(
    'lifetime_s', 600, 'Time in seconds until exit.'
)
_KEEP_S = flags.DEFINE_float(
    'keep_s', 3600, 'Age in seconds at which records are dropped.'
)
_KEEP_COUNT = flags.DEFINE_integer(
    'keep_count', 1_000_000, 'Maximum number of records kept per stream.'
)
_ANNOUNCE_URL = flags.DEFINE_string(
    'announce_url', '', 'URL for announcements to the node.'
)
_SERVICE = flags.DEFINE_string('service', 'catalogue', 'Service name.')
_IS_KEYED = flags.DEFINE_bool(
    'is_keyed', False, 'Whether requests need a granted shard.'
)
_SLOTS = flags.DEFINE_integer(
    'slots', 20, 'Maximum concurrent requests when warm.'
)
_CONNECTIONS = flags.DEFINE_integer(
    'connections', 110, 'Maximum number of connections, as announced.'
)
_COLD_SLOTS = flags.DEFINE_integer(
    'cold_slots', 2, 'Maximum concurrent requests when cold.'
)
_WARM_UP_S = flags.DEFINE_float(
    'warm_up_s', 0, 'Time in seconds from cold to warm.'
)
_OVERRUN = flags.DEFINE_enum_class(
    'overrun',
    Overrun.REFUSE,
    Overrun,
    'Reaction to a request above the capacity of a cold upstream.',
)
_SERVICE_TIME_S = flags.DEFINE_float(
    'service_time_s', 0.005, 'Median service time in seconds.'
)
_SPREAD = flags.DEFINE_float(
    'spread', 0.4, 'Sigma of the log-normal service time.'
)
_SEED = flags.DEFINE_integer('seed', 1, 'Random seed of service times.')
_POISON = flags.DEFINE_string(
    'poison', '', 'Path substring on which the process crashes.'
)


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
    ended = create_shutdown_event(_LIFETIME_S.value)
    print_listen_address(started.listening)
    await ended.wait()
    await started.runner.cleanup()


async def _run_upstream() -> None:
    clock = Clock()
    state = UpstreamState(_build_options(), clock=clock, crash=crash)
    started = await start_app(
        make_upstream_app(state, clock), host=_HOST.value, port=_PORT.value
    )
    ended = create_shutdown_event(_LIFETIME_S.value)
    print_listen_address(started.listening)
    announcing = asyncio.ensure_future(
        announce_periodically(
            state,
            url=_ANNOUNCE_URL.value,
            host=started.listening.host,
            port=started.listening.port,
        )
    )
    await ended.wait()
    announcing.cancel()
    await started.runner.cleanup()


def _build_options() -> UpstreamOptions:
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
    """Run the stand-in named on the command line.

    Parameters
    ----------
    argv : list of str
        Program name, then `log` or `upstream`.
    """
    names = argv[1:]
    if len(names) != 1 or names[0] not in _RUNNERS:
        raise app.UsageError('expected exactly one stand-in: log or upstream')
    logger.remove()
    logger.add(sys.stderr, level='INFO')
    uvloop.run(_RUNNERS[names[0]]())


if __name__ == '__main__':
    app.run(main)
