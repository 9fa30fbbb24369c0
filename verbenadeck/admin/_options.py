"""Configuration options of the admin server."""

import msgspec

from verbenadeck.entry import ConnectionLimits, derive_max_connections

_DESCRIPTOR_SHARE = 0.05
"""Share of the process's descriptors for operators, exporters and the upstream
beside the node."""


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
    limits : ConnectionLimits or None
        Limits of the connections; None for the usual ones, with a number of
        connections that depends on the descriptors of the process.
    """

    host: str = '127.0.0.1'
    port: int = 0
    announce_path: str = '/announce'
    body_limit_bytes: int = 65_536
    limits: ConnectionLimits | None = None


def make_usual_limits() -> ConnectionLimits:
    """Return the limits of connections to an admin server."""
    return ConnectionLimits(
        max_connections=derive_max_connections(_DESCRIPTOR_SHARE),
        partial_heads_limit_bytes=2_097_152,
        unread_answer_limit_bytes=4_194_304,
        unread_answers_limit_bytes=8_388_608,
    )
