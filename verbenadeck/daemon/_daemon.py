"""Daemon that starts a node, handles signals and stops it as planned."""

import asyncio
import os
import signal
import sys

import msgspec
from loguru import logger
from returns.result import Failure, Result, Success

from verbenadeck.admin import AdminServer
from verbenadeck.daemon._assembly import build_node
from verbenadeck.entry import EntryServer
from verbenadeck.kernel import Kernel
from verbenadeck.logs import setup_logs
from verbenadeck.node import (
    PlannedStop,
    StartError,
    make_loop_exception_handler,
    stop_node,
)
from verbenadeck.peers import StreamTransport
from verbenadeck.settings import NodeSettings
from verbenadeck.utils import Clock

_log = logger.bind(part='node')


class NodeReady(msgspec.Struct, frozen=True):
    """JSON line written to standard output once a node listens.

    Parameters
    ----------
    node_id : str
        Identifier of the node.
    host : str
        IP address that the node listens on.
    peer_port, entry_port, admin_port : int
        Ports that the node listens on for other nodes, for callers and for
        operators.
    """

    node_id: str
    host: str
    peer_port: int
    entry_port: int
    admin_port: int


async def run_node(settings: NodeSettings) -> Result[None, StartError]:
    """Run a node until SIGTERM, SIGINT or an operator's drain.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings.

    Returns
    -------
    Result
        Success after a planned stop, or the error that prevented the start.
    """
    writer = setup_logs(
        level=settings.logging.level, line_format=settings.logging.format
    )
    stop = PlannedStop(clock=Clock())
    # A signal that arrives during the start takes effect after the start.
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.begin)
    loop.set_exception_handler(
        make_loop_exception_handler(
            flush_logs=writer.flush, exit_process=os._exit
        )
    )
    kernel = build_node(settings, stop=stop)
    try:
        await kernel.start()
    except OSError as error:
        await kernel.stop()
        return Failure(StartError(f'{settings.node_id}: {error}'))
    _announce_ready(kernel, settings)
    await stop.wait()
    await stop_node(kernel, timeout_s=settings.stop_timeout_s)
    writer.flush()
    return Success(None)


def _announce_ready(kernel: Kernel, settings: NodeSettings) -> None:
    ready = NodeReady(
        node_id=settings.node_id,
        host=settings.host,
        peer_port=kernel.find('peers', StreamTransport).address.port,
        entry_port=kernel.find('entry', EntryServer).port,
        admin_port=kernel.find('admin', AdminServer).port,
    )
    sys.stdout.write(msgspec.json.encode(ready).decode())
    sys.stdout.write('\n')
    sys.stdout.flush()
