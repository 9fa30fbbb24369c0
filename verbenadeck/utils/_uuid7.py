"""UUIDs of version 7, which contain the time of their creation.

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
    """Return a new UUID of version 7.

    Parameters
    ----------
    wall_s : float
        Unix time in seconds that the UUID contains.
    source : random.Random
        Source of the random bits.

    Returns
    -------
    str

    Examples
    --------
    >>> uuid7 = generate_uuid7(wall_s=1_800_000_000, source=random.Random(1))
    >>> uuid7_time_s(uuid7)
    1800000000.0
    """
    time_ms = int(wall_s * _MS_PER_S)
    random_a = source.getrandbits(12) << _RANDOM_A_SHIFT
    random_b = source.getrandbits(62)
    number = (time_ms << _TIME_SHIFT) | _VERSION_BITS | random_a
    return str(uuid.UUID(int=number | _VARIANT_BITS | random_b))


def uuid7_time_s(text: str) -> float | None:
    """Return the time that a UUID of version 7 contains.

    Parameters
    ----------
    text : str
        Id to parse.

    Returns
    -------
    float or None
        Unix time in seconds; None if the text is not a UUID of version 7.

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
