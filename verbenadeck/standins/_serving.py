"""Runs a stand-in as a process of its own."""

import asyncio
import os
import signal
import sys
from typing import NamedTuple

import msgspec
from aiohttp import web

_CRASH_STATUS = 70
_BACKLOG = 512
_SHUTDOWN_TIMEOUT_S = 0.5


class ListenAddress(msgspec.Struct, frozen=True):
    """What a stand-in prints, as one JSON line, once it listens.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    """

    host: str
    port: int


class Started(NamedTuple):
    """A stand-in that listens."""

    runner: web.AppRunner
    listening: ListenAddress


async def start_app(
    app: web.Application, *, host: str, port: int = 0
) -> Started:
    """Start an application; port 0 takes any free port."""
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port, backlog=_BACKLOG)
    await site.start()
    bound_port = int(runner.addresses[0][1])
    return Started(runner, ListenAddress(host, bound_port))


def announce_listening(listening: ListenAddress) -> None:
    """Print the bound address as one JSON line."""
    sys.stdout.write(f'{msgspec.json.encode(listening).decode()}\n')
    sys.stdout.flush()


def end_event(lifetime_s: float) -> asyncio.Event:
    """Return an event set by SIGTERM, SIGINT or the end of the lifetime.

    Taken before the address is printed: who reads it may send a signal.
    """
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    loop.call_later(lifetime_s, ended.set)
    return ended


def crash() -> None:
    """End the process at once, as a crash does."""
    os._exit(_CRASH_STATUS)
