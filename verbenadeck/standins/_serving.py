"""HTTP server start and process lifetime of a stand-in."""

import asyncio
import os
import signal
import sys
from typing import NamedTuple

import msgspec
from aiohttp import web

_CRASH_STATUS = 70
_LISTEN_BACKLOG = 512
_SHUTDOWN_TIMEOUT_S = 0.5


class ListenAddress(msgspec.Struct, frozen=True):
    """Bound address that a stand-in prints as one JSON line.

    Parameters
    ----------
    host : str
        IP address on which it listens.
    port : int
        TCP port on which it listens.
    """

    host: str
    port: int


class StartedApp(NamedTuple):
    """Listening application of a stand-in.

    Attributes
    ----------
    runner : aiohttp.web.AppRunner
        Runner to clean up at shutdown.
    listening : ListenAddress
        Bound address.
    """

    runner: web.AppRunner
    listening: ListenAddress


async def start_app(
    app: web.Application, *, host: str, port: int = 0
) -> StartedApp:
    """Start an HTTP application.

    Parameters
    ----------
    app : aiohttp.web.Application
        Application to serve.
    host : str
        IP address to listen on.
    port : int
        TCP port to listen on; 0 chooses any free port.
    """
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port, backlog=_LISTEN_BACKLOG)
    await site.start()
    bound_port = int(runner.addresses[0][1])
    return StartedApp(runner, ListenAddress(host, bound_port))


def print_listen_address(listening: ListenAddress) -> None:
    """Print the bound address as one JSON line.

    Parameters
    ----------
    listening : ListenAddress
        Address to print.
    """
    sys.stdout.write(f'{msgspec.json.encode(listening).decode()}\n')
    sys.stdout.flush()


def create_shutdown_event(lifetime_s: float) -> asyncio.Event:
    """Return an event set by SIGTERM, SIGINT or the end of the lifetime.

    Call it before printing the address, because a process that reads the
    address may send a signal at once.

    Parameters
    ----------
    lifetime_s : float
        Time in seconds after which the event is set.
    """
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, ended.set)
    loop.call_later(lifetime_s, ended.set)
    return ended


def crash() -> None:
    """Exit the process immediately without cleanup, like a crash."""
    os._exit(_CRASH_STATUS)
