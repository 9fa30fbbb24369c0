"""Request ids that carry their time (UUID version 7).

References
----------
RFC 9562, section 5.7.
"""

import random
import uuid

_MS_PER_S = 1000
_TIME_SHIFT = 80
_VERSION_BITS = 7 << 76
_VARIANT_BITS = 2 << 62
_RANDOM_A_SHIFT = 64


def generate_uuid7(*, wall_s: float, source: random.Random) -> str:
    """Return a UUID of version 7 for a Unix time in seconds.

    Examples
    --------
    >>> minted = generate_uuid7(wall_s=1_800_000_000, source=random.Random(1))
    >>> uuid7_time_s(minted)
    1800000000.0
    """
    time_ms = int(wall_s * _MS_PER_S)
    random_a = source.getrandbits(12) << _RANDOM_A_SHIFT
    random_b = source.getrandbits(62)
    number = (time_ms << _TIME_SHIFT) | _VERSION_BITS | random_a
    return str(uuid.UUID(int=number | _VARIANT_BITS | random_b))


def uuid7_time_s(text: str) -> float | None:
    """Return the Unix time in an id, None when it is no such UUID.

    Examples
    --------
    >>> uuid7_time_s('order-17') is None
    True
    """
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != 7 or parsed.variant != uuid.RFC_4122:
        return None
    return (parsed.int >> _TIME_SHIFT) / _MS_PER_S
