import random

from verbenadeck.journal import JournalOptions, LogClient
from verbenadeck.model import NodeId
from verbenadeck.testing import MemoryLog, MemoryLogAdapter
from verbenadeck.utils import Clock


def make_client(
    log: MemoryLog,
    clock: Clock,
    *,
    node_id: str = 'node-0',
    seed: int = 1,
    options: JournalOptions | None = None,
) -> tuple[LogClient, MemoryLogAdapter]:
    adapter = MemoryLogAdapter(log, clock)
    client = LogClient(
        adapter=adapter,
        clock=clock,
        random_source=random.Random(f'{node_id}/{seed}'),
        node_id=NodeId(node_id),
        options=options,
    )
    return client, adapter
