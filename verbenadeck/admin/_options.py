"""Options of the admin server."""

import msgspec


class AdminOptions(msgspec.Struct, frozen=True):
    """Address and bounds of the admin server.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 takes a free one.
    announce_path : str
        Path to which the upstream announces itself.
    body_limit_bytes : int
        Largest body of a request.
    """

    host: str = '127.0.0.1'
    port: int = 0
    announce_path: str = '/announce'
    body_limit_bytes: int = 65_536
