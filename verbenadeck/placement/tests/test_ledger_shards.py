"""Balancing of the ledger shards of a service without keys."""

import asyncio

from verbenadeck.fleet.tests.builders import HOLDS, SHARD_COUNT, Recorder
from verbenadeck.model import ConfigDocument, ServicePolicy
from verbenadeck.placement.tests.builders import build_planner
from verbenadeck.testing import run_virtual


# Guards against shards that never move since their upstreams report no load.
def test_ledger_shards_are_balanced_without_load_reports() -> None:
    async def scenario() -> None:
        recorder = Recorder()
        policy = ServicePolicy(is_keyed=False, shard_count=SHARD_COUNT)
        recorder.publish(ConfigDocument(services={HOLDS: policy}))
        first = recorder.join('n1')
        second = recorder.join('n2', witnesses=(first,))
        recorder.assign(first)
        planner = build_planner(recorder.state, first)
        planner._record_first_seen()
        await asyncio.sleep(60)
        assert set(planner._plan(HOLDS).balance.values()) == {second}

    run_virtual(scenario())
