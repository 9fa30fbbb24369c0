"""Records with which members resume after the log has lost its newest records."""

import msgspec

from verbenadeck.model import Era


class EraStart(msgspec.Struct, frozen=True, array_like=True, tag='era'):
    """First record of an era.

    Every fence rises to its offset, above all fences of the lost records.

    Parameters
    ----------
    era : Era
        Era that begins.
    """

    era: Era
