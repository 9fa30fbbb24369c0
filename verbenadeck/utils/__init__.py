"""Small helpers that several subpackages share."""

from verbenadeck.utils._clock import Clock, boot_now_s
from verbenadeck.utils._defaults import always
from verbenadeck.utils._packing import pack
from verbenadeck.utils._uuid7 import mint_uuid7, uuid7_time_s

__all__ = (
    'Clock',
    'always',
    'boot_now_s',
    'mint_uuid7',
    'pack',
    'uuid7_time_s',
)
