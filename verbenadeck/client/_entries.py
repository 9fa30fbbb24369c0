"""Which entry a call goes to."""

import random
from collections import OrderedDict
from typing import NamedTuple

from verbenadeck.adapters import OwnerHint
from verbenadeck.fleet import shard_of
from verbenadeck.model import ServiceName, Shard
from verbenadeck.utils import Clock


class EntryAddress(NamedTuple):
    """Address of a node's entry."""

    host: str
    port: int


_Place = tuple[ServiceName, Shard]


class Entries:
    """Known entries, owners of shards and entries to avoid.

    Parameters
    ----------
    known : tuple of EntryAddress
        Entries to start with, at least one.
    clock : Clock
        Clock of the VM.
    source : random.Random
        Spreads calls over entries.
    avoid_s : float
        Time for which an entry is avoided.
    owners : int
        Most shards whose owner is remembered.
    """

    def __init__(
        self,
        known: tuple[EntryAddress, ...],
        *,
        clock: Clock,
        source: random.Random,
        avoid_s: float,
        owners: int,
    ) -> None:
        if not known:
            raise ValueError('at least one entry is needed')
        self._known = known
        self._clock = clock
        self._source = source
        self._avoid_s = avoid_s
        self._owners_limit = owners
        self._shard_counts: dict[ServiceName, int] = {}
        self._owners: OrderedDict[_Place, EntryAddress] = OrderedDict()
        self._avoided_until_s: dict[EntryAddress, float] = {}

    def choose(self, service: ServiceName, key: str | None) -> EntryAddress:
        """Return the owner's entry when it is known, else any."""
        place = self._place(service, key)
        owner = None if place is None else self._owners.get(place)
        if owner is not None and self._is_usable(owner):
            return owner
        usable = [entry for entry in self._known if self._is_usable(entry)]
        return self._source.choice(usable or self._known)

    def learn(self, service: ServiceName, key: str, hint: OwnerHint) -> None:
        """Remember the owner of a key's shard."""
        if self._shard_counts.get(service) != hint.shard_count:
            self._forget_service(service)
            self._shard_counts[service] = hint.shard_count
        place = (service, shard_of(key, hint.shard_count))
        self._owners[place] = EntryAddress(hint.host, hint.entry_port)
        self._owners.move_to_end(place)
        if len(self._owners) > self._owners_limit:
            self._owners.popitem(last=False)

    def forget(self, service: ServiceName, key: str | None) -> None:
        """Forget the owner of a key's shard."""
        place = self._place(service, key)
        if place is not None:
            self._owners.pop(place, None)

    def avoid(self, entry: EntryAddress) -> None:
        """Prefer other entries for a while."""
        now_s = self._clock.now_s()
        self._avoided_until_s = {
            avoided: until_s
            for avoided, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        self._avoided_until_s[entry] = now_s + self._avoid_s

    def _place(self, service: ServiceName, key: str | None) -> _Place | None:
        shard_count = self._shard_counts.get(service)
        if key is None or shard_count is None:
            return None
        return service, shard_of(key, shard_count)

    def _is_usable(self, entry: EntryAddress) -> bool:
        until_s = self._avoided_until_s.get(entry)
        return until_s is None or until_s <= self._clock.now_s()

    def _forget_service(self, service: ServiceName) -> None:
        kept = (
            (place, owner)
            for place, owner in self._owners.items()
            if place[0] != service
        )
        self._owners = OrderedDict(kept)
