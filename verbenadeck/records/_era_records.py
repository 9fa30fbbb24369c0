"""Records with which members resume after the log has lost its newest records."""

import msgspec

from verbenadeck.model import Era, Incarnation, Offset
from verbenadeck.records._ranges import ReleasedRange


class EraStart(msgspec.Struct, frozen=True, array_like=True, tag='era'):
    """First record of an era.

    Every fence rises to its offset, above all fences of the lost records, and
    the shards become contested: a member that is not known from the records
    that are left may still serve them.

    Parameters
    ----------
    era : Era
        Era that begins.
    """

    era: Era


class HoldClaim(msgspec.Struct, frozen=True, array_like=True, tag='claim'):
    """Claim of the shards that a member served when it learned of an era.

    Each member of the inherited state writes one, if only to state that it has
    left the earlier history. A member that joined in the lost part of the log
    joins again and claims as its new incarnation.

    Parameters
    ----------
    incarnation : Incarnation
        Member that writes the claim.
    ranges : tuple of ReleasedRange
        Shards that it served under a lease until it left the earlier history.
    """

    incarnation: Incarnation
    ranges: tuple[ReleasedRange, ...]


class ClaimsClosed(
    msgspec.Struct, frozen=True, array_like=True, tag='claims-closed'
):
    """End of the claims: what nobody has claimed has no earlier owner.

    Parameters
    ----------
    start_offset : Offset
        Offset at which the era began. The record takes effect only if no
        member of the inherited state has yet to claim or to end.
    """

    start_offset: Offset
