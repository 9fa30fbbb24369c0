"""Reason why a node could not start."""

import msgspec


class StartError(msgspec.Struct, frozen=True):
    """Reason why a node could not start.

    Parameters
    ----------
    detail : str
        Identifier of the node and the error of the operating system.
    """

    detail: str
