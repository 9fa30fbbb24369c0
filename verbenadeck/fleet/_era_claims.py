"""Claims of the members after the log has lost its newest records."""

from collections.abc import Iterable

import msgspec

from verbenadeck.model import Era, Fence, Incarnation, Offset, era_of

_NO_START = Offset(-1)


class ClaimsSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Encoded form of `EraClaims`.

    Parameters
    ----------
    start_offset : Offset
        Offset at which the newest era began; -1 if none has.
    pending : tuple of Incarnation
        Members that have yet to claim.
    is_open : bool
        Whether shards can still be claimed.
    """

    start_offset: Offset = _NO_START
    pending: tuple[Incarnation, ...] = ()
    is_open: bool = False


class EraClaims:
    """Era of the log, members that have yet to claim, and contested shards.

    In the lost records a shard may have got another owner than in those that
    are left, and that owner may hold a lease for as long as its witnesses have
    not learned of the new era. So a shard that nobody has claimed is served
    only once every inherited member has left the earlier history or has ended,
    and a lease has passed since.

    Attributes
    ----------
    log_era : Era
        Era that the log was in when the state was read from it.
    start_offset : Offset
        Offset at which the newest era began; -1 if none has.
    pending : set of Incarnation
        Inherited members that have neither claimed nor ended.
    is_open : bool
        Whether shards can still be claimed.
    """

    def __init__(self) -> None:
        self.log_era = Era(0)
        self.start_offset = _NO_START
        self.pending: set[Incarnation] = set()
        self.is_open = False

    @property
    def is_started(self) -> bool:
        """Whether a record of the era of the log has been applied."""
        return era_of(self.start_offset) >= self.log_era

    def start(self, offset: Offset, live: Iterable[Incarnation]) -> None:
        """Expect a claim of each member; close at once if there is none.

        Parameters
        ----------
        offset : Offset
            Offset of the first record of the era.
        live : iterable of Incarnation
            Inherited members that have not ended.
        """
        self.start_offset = offset
        self.pending = set(live)
        self.is_open = bool(self.pending)

    def is_contested(self, fence: Fence) -> bool:
        """Return whether a shard may still have an owner that is not known.

        Parameters
        ----------
        fence : Fence
            Fence of the shard. Only a claim or an assignment of this era
            gives a shard a higher fence than the start of the era.
        """
        if not self.is_started:
            return True
        return self.is_open and fence <= self.start_offset

    def discard(self, incarnation: Incarnation) -> None:
        """Expect no claim of a member any more.

        Parameters
        ----------
        incarnation : Incarnation
            Member that has claimed or ended.
        """
        self.pending.discard(incarnation)

    def close(self, start_offset: Offset) -> bool:
        """Close the claims of an era; return whether this had an effect.

        Parameters
        ----------
        start_offset : Offset
            Offset at which that era began.
        """
        is_due = self.is_open and not self.pending
        if not is_due or start_offset != self.start_offset:
            return False
        self.is_open = False
        return True

    def encode(self) -> ClaimsSnapshot:
        """Return the encoded form for a snapshot."""
        return ClaimsSnapshot(
            self.start_offset, tuple(sorted(self.pending)), self.is_open
        )

    def load(self, encoded: ClaimsSnapshot) -> None:
        """Replace all claims by those of a snapshot.

        Parameters
        ----------
        encoded : ClaimsSnapshot
            As `encode` returned it.
        """
        self.start_offset = encoded.start_offset
        self.pending = set(encoded.pending)
        self.is_open = encoded.is_open
