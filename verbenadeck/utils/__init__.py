"""Small helpers that several subpackages share."""

from verbenadeck.utils._clock import Clock, boot_now_s
from verbenadeck.utils._packing import pack

__all__ = ('Clock', 'boot_now_s', 'pack')
