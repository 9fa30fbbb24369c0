"""Small utilities shared by several subpackages."""

from verbenadeck.utils._clock import Clock, boot_now_s
from verbenadeck.utils._defaults import always_true, do_nothing, ignore_name
from verbenadeck.utils._msgpack import encode_msgpack
from verbenadeck.utils._reply_margin import reply_margin_s
from verbenadeck.utils._uuid7 import generate_uuid7, uuid7_time_s

__all__ = (
    'Clock',
    'always_true',
    'boot_now_s',
    'do_nothing',
    'generate_uuid7',
    'encode_msgpack',
    'ignore_name',
    'reply_margin_s',
    'uuid7_time_s',
)
