"""Selection of the entry to which a call is sent."""

import random
from collections import OrderedDict
from typing import NamedTuple

from verbenadeck.adapters import OwnerHint
from verbenadeck.fleet import shard_of
from verbenadeck.model import ServiceName, Shard
from verbenadeck.utils import Clock


class EntryAddress(NamedTuple):
    """Address of the entry of a node.

    Attributes
    ----------
    host : str
        IP address or host name.
    port : int
        TCP port.
    """

    host: str
    port: int


_ShardKey = tuple[ServiceName, Shard]


class EntryTable:
    """Table of entries, of shard owners and of entries to avoid.

    Parameters
    ----------
    known : tuple of EntryAddress
        Configured entries, at least one.
    clock : Clock
        Clock of the VM.
    source : random.Random
        Generator that spreads calls over the entries.
    avoid_s : float
        Time for which an entry is avoided, in seconds.
    owners : int
        Maximum number of shards whose owner is stored; the owner that was
        set longest ago is dropped first.
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
        self._owners: OrderedDict[_ShardKey, EntryAddress] = OrderedDict()
        self._avoided_until_s: dict[EntryAddress, float] = {}

    def choose_entry(
        self, service: ServiceName, key: str | None
    ) -> EntryAddress:
        """Choose the entry to which a call is sent.

        Parameters
        ----------
        service : ServiceName
            Service of the call.
        key : str or None
            Key of the call.

        Returns
        -------
        EntryAddress
            Entry of the key's owner when it is known and not avoided, else
            a random configured entry, preferably one that is not avoided.
        """
        shard_key = self._shard_key(service, key)
        owner = None if shard_key is None else self._owners.get(shard_key)
        if owner is not None and self._is_usable(owner):
            return owner
        usable = [entry for entry in self._known if self._is_usable(entry)]
        return self._source.choice(usable or self._known)

    def set_owner(
        self, service: ServiceName, key: str, hint: OwnerHint
    ) -> None:
        """Store the owner of a key's shard.

        All owners of the service are dropped when its shard count differs,
        since keys then map to other shards.

        Parameters
        ----------
        service : ServiceName
            Service of the call.
        key : str
            Key of the call.
        hint : OwnerHint
            Address of the owner and shard count of the service.
        """
        if self._shard_counts.get(service) != hint.shard_count:
            self._remove_service_owners(service)
            self._shard_counts[service] = hint.shard_count
        shard_key = (service, shard_of(key, hint.shard_count))
        self._owners[shard_key] = EntryAddress(hint.host, hint.entry_port)
        self._owners.move_to_end(shard_key)
        if len(self._owners) > self._owners_limit:
            self._owners.popitem(last=False)

    def remove_owner(self, service: ServiceName, key: str | None) -> None:
        """Remove the owner of a key's shard."""
        shard_key = self._shard_key(service, key)
        if shard_key is not None:
            self._owners.pop(shard_key, None)

    def mark_avoided(self, entry: EntryAddress) -> None:
        """Prefer other entries until the avoidance time is over."""
        now_s = self._clock.now_s()
        self._avoided_until_s = {
            avoided: until_s
            for avoided, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        self._avoided_until_s[entry] = now_s + self._avoid_s

    def _shard_key(
        self, service: ServiceName, key: str | None
    ) -> _ShardKey | None:
        shard_count = self._shard_counts.get(service)
        if key is None or shard_count is None:
            return None
        return service, shard_of(key, shard_count)

    def _is_usable(self, entry: EntryAddress) -> bool:
        until_s = self._avoided_until_s.get(entry)
        return until_s is None or until_s <= self._clock.now_s()

    def _remove_service_owners(self, service: ServiceName) -> None:
        kept_owners = (
            (shard_key, owner)
            for shard_key, owner in self._owners.items()
            if shard_key[0] != service
        )
        self._owners = OrderedDict(kept_owners)
