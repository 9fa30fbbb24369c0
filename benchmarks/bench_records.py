"""Cost of the log side of ownership: state, records and checkpoints.

Prints one JSON document. Run it with ``python -m benchmarks.bench_records``.
"""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable, Iterator

from verbenadeck.config import encode_document
from verbenadeck.fleet import FleetState, compress_snapshot
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
    Witnesses,
    encode_envelope,
)

_OWNERS = 440
_SERVICES = tuple(ServiceName(f'service-{index}') for index in range(4))
_SHARD_COUNTS = (4_096, 32_768)
_MOVES_PER_RECORD = 32
_RECORDS = 20_000
_MICRO = 1e6


class Log:
    """Records in memory with the state that they give."""

    def __init__(self) -> None:
        self.state = FleetState()
        self.payloads: list[bytes] = []

    def add(self, record: Record, writer: int = 0) -> Incarnation:
        """Append a record that must take effect and return its offset."""
        payload = self.encode(record, len(self.payloads), writer)
        offset = Offset(len(self.payloads))
        self.payloads.append(payload)
        verdict = self.state.apply(offset, payload)
        if verdict is not Verdict.ACCEPTED:
            raise AssertionError(f'{record} is {verdict}')
        return Incarnation(offset)

    def encode(self, record: Record, offset: int, writer: int) -> bytes:
        """Return a record as one of 440 writers sends it."""
        return encode_envelope(
            Envelope(
                format_version=1,
                writer=WriterId(f'node-{writer}/0123456789abcdef'),
                sequence=offset + 1,
                record=record,
                seen_offset=Offset(offset - 1),
            )
        )


def make_log(shard_count: int) -> tuple[Log, list[Incarnation]]:
    """Return a fleet of 440 owners in which every shard has its own move."""
    log = Log()
    log.add(_config(shard_count))
    nodes = [log.add(_join(index), index) for index in range(_OWNERS)]
    for index, node in enumerate(nodes):
        log.add(Witnesses(node, Epoch(node), _witnesses(nodes, index)))
    for service in _SERVICES:
        for first in range(0, shard_count, _MOVES_PER_RECORD):
            shards = range(first, first + _MOVES_PER_RECORD)
            moves = tuple(
                ShardMove(
                    service,
                    shard,
                    shard + 1,
                    NO_FENCE,
                    _owner(nodes, service, shard),
                )
                for shard in shards
            )
            log.add(Assign(moves))
    return log, nodes


def _config(shard_count: int) -> ConfigPublished:
    policy = ServicePolicy(is_keyed=True, shard_count=shard_count)
    document = ConfigDocument(services=dict.fromkeys(_SERVICES, policy))
    return ConfigPublished(ConfigVersion(0), encode_document(document), 'ana')


def _join(index: int) -> NodeJoin:
    return NodeJoin(
        node_id=NodeId(f'node-{index}'),
        zone=Zone(f'zone-{index % 7}'),
        region=Region(f'region-{index % 2}'),
        service=_SERVICES[index % len(_SERVICES)],
        slots=20,
        host='127.0.0.1',
        peer_port=7000,
        entry_port=8000,
    )


def _witnesses(nodes: list[Incarnation], index: int) -> tuple[Incarnation, ...]:
    return tuple(nodes[(index + step) % _OWNERS] for step in (1, 2, 3))


def _owner(
    nodes: list[Incarnation], service: ServiceName, shard: int
) -> Incarnation:
    """Spread the shards of a service over its own nodes."""
    own = nodes[_SERVICES.index(service) :: len(_SERVICES)]
    return own[shard * 7 % len(own)]


def _daily_records(
    log: Log, nodes: list[Incarnation], shard_count: int
) -> Iterator[Record]:
    """Yield moves, releases and votes as a busy fleet writes them."""
    state = log.state
    last = Offset(len(log.payloads) - 1)
    for index in range(_RECORDS // 4):
        service = _SERVICES[index % len(_SERVICES)]
        shard = index * 13 % shard_count
        fence = state.shard(service, Shard(shard)).fence
        owner = _owner(nodes, service, shard + 1)
        yield Assign((ShardMove(service, shard, shard + 1, fence, owner),))
        old = _owner(nodes, service, shard)
        released = (ReleasedRange(service, shard, shard + 1),)
        yield Released(old, released, last)
        stale = ShardMove(service, shard, shard + 1, Fence(-7), owner)
        yield Assign((stale,))
        yield Suspect((Vote(nodes[0], Epoch(-7), nodes[1]),))


def _seconds(action: Callable[[], object]) -> float:
    started_s = time.perf_counter()
    action()
    return time.perf_counter() - started_s


def _measure_apply(
    log: Log, nodes: list[Incarnation], shard_count: int
) -> dict[str, float]:
    start = len(log.payloads)
    payloads = [
        log.encode(record, start + index, index % _OWNERS)
        for index, record in enumerate(_daily_records(log, nodes, shard_count))
    ]

    def apply_all() -> None:
        for index, payload in enumerate(payloads):
            log.state.apply(Offset(start + index), payload)

    spent_s = _seconds(apply_all)
    log.payloads.extend(payloads)
    size = sum(len(payload) for payload in payloads)
    return {
        'apply_us_per_record': spent_s / len(payloads) * _MICRO,
        'apply_records_per_s': len(payloads) / spent_s,
        'mean_record_bytes': size / len(payloads),
    }


def _measure_checkpoint(state: FleetState) -> dict[str, float]:
    packed: list[bytes] = []
    pieces_s: list[float] = []

    def pack() -> None:
        pieces = compress_snapshot(raw)
        while True:
            started_s = time.perf_counter()
            piece = next(pieces, None)
            pieces_s.append(time.perf_counter() - started_s)
            if piece is None:
                return
            packed.append(piece)

    freeze_s = _seconds(state.snapshot)
    raw = state.snapshot()
    pack_s = _seconds(pack)
    loaded = FleetState()
    load_s = _seconds(lambda: loaded.restore(b''.join(packed)).unwrap())
    if loaded.snapshot() != raw:
        raise AssertionError('a restored state differs')
    return {
        'checkpoint_raw_bytes': len(raw),
        'checkpoint_packed_bytes': sum(len(piece) for piece in packed),
        'checkpoint_freeze_ms': freeze_s * 1000,
        'checkpoint_pack_ms': pack_s * 1000,
        'checkpoint_longest_piece_ms': max(pieces_s) * 1000,
        'checkpoint_load_ms': load_s * 1000,
    }


def _measure_queries(
    state: FleetState, nodes: list[Incarnation]
) -> dict[str, float]:
    owned_s = _seconds(lambda: [list(state.owned_by(n)) for n in nodes[:20]])
    return {'owned_by_us': owned_s / 20 * _MICRO}


def _state_bytes(shard_count: int) -> int:
    """Return the memory of a restored state, the codecs left out."""
    log, _nodes = make_log(shard_count)
    packed = b''.join(compress_snapshot(log.state.snapshot()))
    gc.collect()
    tracemalloc.start()
    state = FleetState()
    state.restore(packed).unwrap()
    gc.collect()
    size, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def measure(shard_count: int) -> dict[str, float]:
    """Return all figures at a number of shards per service."""
    log, nodes = make_log(shard_count)
    return {
        'services': len(_SERVICES),
        'shards_per_service': shard_count,
        'owners': _OWNERS,
        'state_bytes': _state_bytes(shard_count),
        **_measure_apply(log, nodes, shard_count),
        **_measure_checkpoint(log.state),
        **_measure_queries(log.state, nodes),
    }


def main() -> None:
    """Measure all sizes and print the figures."""
    figures = [measure(shard_count) for shard_count in _SHARD_COUNTS]
    print(json.dumps(figures, indent=2))


if __name__ == '__main__':
    main()
