"""Listening sockets that accept few connections at a time."""

import asyncio
import socket
from collections.abc import Callable

_ACCEPTED_AT_A_TIME = 8
"""Connections accepted before others are closed. asyncio accepts as many as
the backlog holds, which may be all descriptors of the process."""


async def start_listening(
    make_connection: Callable[[], asyncio.Protocol],
    listener: socket.socket,
    *,
    backlog: int,
) -> asyncio.Server:
    """Return a server that accepts connections.

    Parameters
    ----------
    make_connection : callable
        Makes the protocol of a connection.
    listener : socket.socket
        Bound socket.
    backlog : int
        Maximum number of connections that wait to be accepted.
    """
    server = await asyncio.get_running_loop().create_server(
        make_connection, sock=listener, backlog=_ACCEPTED_AT_A_TIME
    )
    # The number above is also that of connections that wait, until now.
    listener.listen(backlog)
    return server
