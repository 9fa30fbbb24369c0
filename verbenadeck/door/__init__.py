"""Door: admission, limits, queue, request ledger and drain."""

from verbenadeck.door._port import Door, DoorLoad

__all__ = ('Door', 'DoorLoad')
