"""Kernel service that closes the connections of an adapter."""

from typing import Protocol


class Closable(Protocol):
    """Adapter that holds open connections."""

    async def close(self) -> None:
        """Close all open connections."""
        ...


class AdapterCloser:
    """Service that closes an adapter once all dependent services have stopped.

    Parameters
    ----------
    adapter : Closable
        The adapter; it opens connections on first use.
    """

    def __init__(self, adapter: Closable) -> None:
        self._adapter = adapter

    async def start(self) -> None:
        """Do nothing; the adapter connects on first use."""

    async def stop(self) -> None:
        """Close the connections of the adapter."""
        await self._adapter.close()
