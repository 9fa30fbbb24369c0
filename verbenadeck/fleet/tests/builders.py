"""Builders of records and of small fleets for tests."""

from collections.abc import Iterable

from verbenadeck.config import encode_document
from verbenadeck.fleet import FleetState
from verbenadeck.model import (
    NO_FENCE,
    ConfigDocument,
    ConfigVersion,
    Epoch,
    Fence,
    Incarnation,
    NodeId,
    Offset,
    Region,
    ServiceName,
    ServicePolicy,
    Shard,
    WriterId,
    Zone,
)
from verbenadeck.records import (
    Assign,
    ConfigPublished,
    Envelope,
    NodeJoin,
    Record,
    Released,
    ReleasedRange,
    ShardMove,
    Suspect,
    Verdict,
    Vote,
    encode_envelope,
)

HOLDS = ServiceName('holds')
SHARD_COUNT = 8


class Recorder:
    """Applies records with new sequence numbers to one or more states."""

    def __init__(self, *states: FleetState) -> None:
        self.states = states or (FleetState(),)
        self.payloads: list[bytes] = []
        self._sequence = 0

    @property
    def state(self) -> FleetState:
        return self.states[0]

    def add(self, record: Record, *, writer: str = 'one') -> Verdict:
        self._sequence += 1
        offset = Offset(len(self.payloads) - 1)
        return self.apply_envelope(
            Envelope(1, WriterId(writer), self._sequence, record, offset)
        )

    def apply_envelope(self, envelope: Envelope) -> Verdict:
        return self.apply_payload(encode_envelope(envelope))

    def apply_payload(self, payload: bytes) -> Verdict:
        offset = Offset(len(self.payloads))
        self.payloads.append(payload)
        verdicts = {state.apply(offset, payload) for state in self.states}
        assert len(verdicts) == 1
        return verdicts.pop()

    def join(
        self,
        node_id: str,
        *,
        witnesses: Iterable[Incarnation] = (),
        zone: str = 'suva',
    ) -> Incarnation:
        record = make_join(node_id, witnesses=witnesses, zone=zone)
        assert self.add(record) is Verdict.ACCEPTED
        return Incarnation(len(self.payloads) - 1)

    def publish(self, document: ConfigDocument | None = None) -> Verdict:
        version = self.state.config_version
        return self.add(make_published(document, expected_version=version))

    def assign(
        self,
        owner: Incarnation,
        *,
        first: int = 0,
        stop: int = SHARD_COUNT,
        expected: int | None = None,
    ) -> Verdict:
        fence = self.state.shard(HOLDS, Shard(first)).fence
        move = ShardMove(
            HOLDS,
            first,
            stop,
            Fence(fence if expected is None else expected),
            owner,
        )
        return self.add(Assign((move,)))

    def release(
        self, owner: Incarnation, *, as_of: int | None = None
    ) -> Verdict:
        applied = self.state.applied_offset
        offset = Offset(applied if as_of is None else as_of)
        everything = (ReleasedRange(HOLDS, 0, SHARD_COUNT),)
        return self.add(Released(owner, everything, offset))

    def vote(
        self,
        about: Incarnation,
        witness: Incarnation,
        *,
        epoch: int | None = None,
        since: int = -1,
    ) -> Verdict:
        member = self.state.member(about)
        assert member is not None
        voted = member.epoch if epoch is None else Epoch(epoch)
        ballot = Vote(about, voted, witness, Offset(since))
        return self.add(Suspect((ballot,)))


def make_join(
    node_id: str,
    *,
    witnesses: Iterable[Incarnation] = (),
    zone: str = 'suva',
    service: ServiceName = HOLDS,
    admin_port: int = 0,
    peer_port: int = 7000,
) -> NodeJoin:
    return NodeJoin(
        node_id=NodeId(node_id),
        zone=Zone(zone),
        region=Region('viti-levu'),
        service=service,
        slots=20,
        host='127.0.0.1',
        peer_port=peer_port,
        entry_port=8000,
        witnesses=tuple(witnesses),
        admin_port=admin_port,
    )


def make_document(**services: int) -> ConfigDocument:
    counts = services or {HOLDS: SHARD_COUNT}
    return ConfigDocument(
        services={
            ServiceName(name): ServicePolicy(is_keyed=True, shard_count=count)
            for name, count in counts.items()
        },
    )


def make_published(
    document: ConfigDocument | None = None,
    *,
    expected_version: int = 0,
    author: str = 'ana',
) -> ConfigPublished:
    return ConfigPublished(
        ConfigVersion(expected_version),
        encode_document(document or make_document()),
        author,
    )


def make_fleet(count: int = 4) -> tuple[Recorder, list[Incarnation]]:
    """Return a configured fleet whose members have no witnesses."""
    recorder = Recorder()
    assert recorder.publish() is Verdict.ACCEPTED
    nodes = [recorder.join(f'node-{index}') for index in range(count)]
    assert recorder.state.shard(HOLDS, Shard(0)).fence == NO_FENCE
    return recorder, nodes
