"""Configuration options of the admin server."""

import msgspec


class AdminOptions(msgspec.Struct, frozen=True):
    """Listen address and limits of the admin server.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port to listen on; 0 lets the operating system choose one.
    announce_path : str
        URL path to which the upstream posts its announcement.
    body_limit_bytes : int
        Maximum size of a request body, in bytes.
    """

    host: str = '127.0.0.1'
    port: int = 0
    announce_path: str = '/announce'
    body_limit_bytes: int = 65_536
