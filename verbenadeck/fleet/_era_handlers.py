"""Application of the records that follow the start of an era."""

from collections.abc import Callable, Mapping
from itertools import chain
from typing import Any

from verbenadeck.fleet._era_claims import EraClaims
from verbenadeck.fleet._members import Members
from verbenadeck.fleet._ownership import Ownership
from verbenadeck.fleet._shard_table import ShardTable
from verbenadeck.model import Fence, Offset, era_of
from verbenadeck.records import ClaimsClosed, EraStart, HoldClaim, Verdict

RecordHandler = Callable[[Offset, Any], Verdict]
"""Applies a record at an offset to the state."""

_NO_SHARDS = ShardTable(0)


def make_era_handlers(
    claims: EraClaims, members: Members, ownership: Ownership
) -> Mapping[type, RecordHandler]:
    """Return the handlers of the records of eras, by type of record.

    Parameters
    ----------
    claims : EraClaims
        Claims since the start of the newest era.
    members : Members
        Members of the fleet.
    ownership : Ownership
        Shard tables of all services.
    """

    def apply_start(offset: Offset, record: EraStart) -> Verdict:
        is_first = claims.start_offset == offset
        is_own_era = record.era == era_of(offset)
        return Verdict.ACCEPTED if is_first and is_own_era else Verdict.STALE

    def apply_claim(offset: Offset, record: HoldClaim) -> Verdict:
        member = members.live.get(record.incarnation)
        if member is None or not claims.is_open:
            return Verdict.STALE
        table = ownership.tables.get(member.service, _NO_SHARDS)
        is_valid = all(
            each.service == member.service
            and table.contains_range(each.first_shard, each.stop_shard)
            for each in record.ranges
        )
        if not is_valid:
            return Verdict.INVALID
        claimed = chain.from_iterable(
            range(each.first_shard, each.stop_shard) for each in record.ranges
        )
        for shard in claimed:
            if claims.is_contested(Fence(table.fences[shard])):
                table.claim(shard, record.incarnation, Fence(offset))
        claims.discard(record.incarnation)
        return Verdict.ACCEPTED

    def apply_closed(_offset: Offset, record: ClaimsClosed) -> Verdict:
        is_closed = claims.close(record.start_offset)
        return Verdict.ACCEPTED if is_closed else Verdict.STALE

    return {
        EraStart: apply_start,
        HoldClaim: apply_claim,
        ClaimsClosed: apply_closed,
    }
