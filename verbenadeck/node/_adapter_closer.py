"""Closes adapters as services of the kernel."""

from typing import Protocol


class Closable(Protocol):
    """Adapter with connections."""

    async def close(self) -> None:
        """Close connections."""
        ...


class AdapterCloser:
    """Service that closes an adapter after all that need it have stopped.

    Parameters
    ----------
    adapter : Closable
        The adapter; it connects when first used.
    """

    def __init__(self, adapter: Closable) -> None:
        self._adapter = adapter

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Close connections."""
        await self._adapter.close()
