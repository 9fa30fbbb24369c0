"""Reading and appending through peers when nodes or links fail."""

import asyncio
import math
import random

import pytest

from verbenadeck.fleet import newest_members
from verbenadeck.fleet.tests.builders import make_join, make_published
from verbenadeck.journal import JournalFailure
from verbenadeck.journal._messages import RelayAppend, RelayFetch, RelayPage
from verbenadeck.journal._sources import (
    DIRECT_READERS,
    FAN_OUT,
    LOG,
    SourcePlanner,
    plan_sources,
)
from verbenadeck.journal.tests.builders import LogFleet, Node, make_site
from verbenadeck.model import NodeId, Offset
from verbenadeck.records import CheckpointChunk, Verdict
from verbenadeck.testing import run_virtual

_MAX_APPLY_S = 7
_MAX_LIVE_DELAY_S = 0.7
_EIGHT_NODES_IN_ZONE = ('suva',) * 8


async def _publish(node: Node) -> Offset:
    version = node.client.fleet.config_version
    published = make_published(expected_version=version)
    answer = await node.client.propose(
        published, deadline_s=node.deadline_in(10)
    )
    assert answer.unwrap().verdict is Verdict.ACCEPTED
    return answer.unwrap().offset


async def _assert_applied_in_time(site: LogFleet, offset: Offset) -> None:
    """Fail unless all live nodes apply a record within the guaranteed time."""
    arrived = await asyncio.gather(
        *(
            node.client.wait_applied(
                offset, deadline_s=node.deadline_in(_MAX_APPLY_S)
            )
            for node in site.nodes
            if node.transport.is_up
        )
    )
    assert all(arrived)


def test_only_direct_readers_of_fleet_read_log() -> None:
    async def scenario() -> None:
        async with make_site(*_EIGHT_NODES_IN_ZONE) as site:
            await site.settle(10)
            before = [node.adapter.reads for node in site.nodes]
            await _assert_applied_in_time(site, await _publish(site.nodes[5]))
            await site.settle(20)
            after = [node.adapter.reads for node in site.nodes]
            readers = sum(
                later > earlier + 1
                for earlier, later in zip(before, after, strict=True)
            )
            assert readers == DIRECT_READERS
            assert site.has_converged()

    run_virtual(scenario())


def test_sources_form_tree_with_bounded_fan_out() -> None:
    async def scenario() -> None:
        async with make_site(
            *_EIGHT_NODES_IN_ZONE, *_EIGHT_NODES_IN_ZONE, *_EIGHT_NODES_IN_ZONE
        ) as site:
            node = site.nodes[0]
            newest = newest_members(node.client.fleet.members.values())
            preferred = [
                plan_sources(newest, own, node.client._random) for own in newest
            ]
            firsts = [sources[0] for sources in preferred]
            assert firsts.count(LOG) == DIRECT_READERS
            for source in set(firsts) - {LOG}:
                assert firsts.count(source) <= FAN_OUT
            assert all(LOG in sources for sources in preferred)
            assert all(len(sources) > 1 for sources in preferred)

    run_virtual(scenario())


def test_number_of_direct_readers_does_not_grow_with_zones() -> None:
    async def scenario() -> None:
        zones = tuple(f'zone-{number}' for number in range(8))
        async with make_site(*zones, *zones) as site:
            node = site.nodes[0]
            newest = newest_members(node.client.fleet.members.values())
            firsts = [
                plan_sources(newest, own, node.client._random)[0]
                for own in newest
            ]
            assert firsts.count(LOG) == DIRECT_READERS
            zones_of_one_reader = math.ceil(len(zones) / DIRECT_READERS)
            for source in set(firsts) - {LOG}:
                assert firsts.count(source) <= FAN_OUT + zones_of_one_reader

    run_virtual(scenario())


def test_restarted_node_keeps_its_place_until_it_has_joined() -> None:
    async def scenario() -> None:
        async with make_site(*_EIGHT_NODES_IN_ZONE) as site:
            fleet = site.nodes[0].client.fleet
            planner = site.nodes[0].client.make_planner(DIRECT_READERS)
            of_restarted = SourcePlanner(
                fleet=fleet,
                node_id=site.nodes[-1].node_id,
                random_source=random.Random(1),
                direct_readers=DIRECT_READERS,
            )
            assert planner.plan()[0] == LOG
            assert (
                of_restarted.plan()[0]
                == site.nodes[-1].client._planner.plan()[0]
            )
            of_new = SourcePlanner(
                fleet=fleet,
                node_id=NodeId('new'),
                random_source=random.Random(1),
                direct_readers=DIRECT_READERS,
            )
            assert of_new.plan()[0] != LOG
            assert of_new.plan() == of_new.plan()

    run_virtual(scenario())


@pytest.mark.parametrize('cut', ('is_cut', 'fails_reads', 'is_silent'))
def test_nodes_without_log_access_read_from_peers(cut: str) -> None:
    async def scenario() -> None:
        async with make_site('suva', 'nadi', 'lautoka') as site:
            for node in site.nodes[:2]:
                setattr(node.adapter, cut, True)
            await site.settle(20)
            await _assert_applied_in_time(site, await _publish(site.nodes[2]))

    run_virtual(scenario())


def test_isolated_nodes_read_log_directly() -> None:
    async def scenario() -> None:
        async with make_site(*_EIGHT_NODES_IN_ZONE) as site:
            for node in site.nodes[3:]:
                site.network.isolate(node.address)
            await site.settle(20)
            await _assert_applied_in_time(site, await _publish(site.nodes[0]))

    run_virtual(scenario())


def test_losing_direct_readers_delays_records_within_bound() -> None:
    async def scenario() -> None:
        async with make_site(*_EIGHT_NODES_IN_ZONE, 'nadi') as site:
            await site.settle(10)
            for node in site.nodes[:DIRECT_READERS]:
                await node.stop()
            await _assert_applied_in_time(site, await _publish(site.nodes[-1]))

    run_virtual(scenario())


def test_reader_leaves_peer_without_log_access() -> None:
    async def scenario() -> None:
        async with make_site(*_EIGHT_NODES_IN_ZONE, 'nadi') as site:
            await site.settle(10)
            far = site.nodes[-1].address
            for node in site.nodes[:DIRECT_READERS]:
                node.adapter.is_silent = True
                site.network.blocked_links.add((node.address, far))
                site.network.blocked_links.add((far, node.address))
            await site.settle(5)
            await _assert_applied_in_time(site, await _publish(site.nodes[-1]))

    run_virtual(scenario())


def test_records_reach_all_nodes_in_time_after_log_outage() -> None:
    async def scenario() -> None:
        async with make_site(*_EIGHT_NODES_IN_ZONE, 'nadi', 'nadi') as site:
            site.log.is_up = False
            await site.settle(300)
            site.log.is_up = True
            await _assert_applied_in_time(site, await _publish(site.nodes[-1]))
            assert site.has_converged()

    run_virtual(scenario())


def test_read_rate_is_bounded_while_log_is_down() -> None:
    async def scenario() -> None:
        async with make_site(*_EIGHT_NODES_IN_ZONE) as site:
            site.log.is_up = False
            await site.settle(10)
            before = sum(node.adapter.reads for node in site.nodes)
            await site.settle(100)
            after = sum(node.adapter.reads for node in site.nodes)
            assert after - before <= 100 * len(site.nodes)

    run_virtual(scenario())


@pytest.mark.parametrize('cut', ('is_cut', 'fails_appends', 'is_silent'))
def test_peer_appends_for_node_without_log_access(cut: str) -> None:
    async def scenario() -> None:
        async with make_site('suva', 'nadi', 'lautoka') as site:
            setattr(site.nodes[0].adapter, cut, True)
            await _assert_applied_in_time(site, await _publish(site.nodes[0]))
            assert site.has_converged()

    run_virtual(scenario())


def test_checkpoint_appended_by_a_peer_keeps_its_name() -> None:
    """Otherwise the log would drop the newest checkpoint after a while."""

    async def scenario() -> None:
        async with make_site('suva', 'nadi') as site:
            node, peer = site.nodes
            node.adapter.fails_appends = True
            chunk = CheckpointChunk(Offset(7), 0, 1, b'part')
            await node.client.propose(chunk, deadline_s=node.deadline_in(5))
            assert ('checkpoint-0', 7) in peer.adapter.names

    run_virtual(scenario())


def test_record_appended_by_several_peers_is_applied_once() -> None:
    async def scenario() -> None:
        async with make_site('suva', 'nadi', 'lautoka') as site:
            first, second, third = site.nodes
            proposal = first.client._proposals.open(
                make_join('once'),
                first.client.fleet.applied_offset,
                first.client.fleet.claims.log_era,
            )
            for helper in (second, third, second):
                await first.transport.call(
                    helper.address,
                    RelayAppend(proposal.payload),
                    deadline_s=first.deadline_in(5),
                )
            await site.settle()
            assert len(first.client.fleet.members) == 4
            assert proposal.applied.result().verdict is Verdict.ACCEPTED
            assert site.has_converged()

    run_virtual(scenario())


def test_append_without_log_and_peers_fails_as_not_appended() -> None:
    async def scenario() -> None:
        async with make_site('suva', 'nadi') as site:
            node = site.nodes[0]
            site.network.transports.pop(site.nodes[1].address)
            node.adapter.fails_appends = True
            answer = await node.client.propose(
                make_join('never'), deadline_s=node.deadline_in(0.1)
            )
            assert answer.failure().failure is JournalFailure.NOT_APPENDED

    run_virtual(scenario())


async def _fetch_page(asker: Node, peer: Node) -> RelayPage:
    """Ask a peer for the second record of the log and those after it."""
    answer = await asker.transport.call(
        peer.address,
        RelayFetch(Offset(1), 0),
        deadline_s=asker.deadline_in(3),
    )
    page = answer.unwrap()
    assert isinstance(page, RelayPage)
    return page


def test_relay_reports_evicted_record_as_not_kept() -> None:
    async def scenario() -> None:
        async with make_site('suva', 'nadi') as site:
            asker, peer = site.nodes
            await _publish(peer)
            await _publish(peer)
            peer.client.applier.recent.restart(peer.client.fleet.applied_offset)
            page = await _fetch_page(asker, peer)
            assert not page.is_kept

    run_virtual(scenario())


def test_dead_preferred_sources_do_not_delay_records() -> None:
    """Guard against a preferred source that is dead and delays each read.

    After a zone loses power, most members in the fleet state are dead, so
    that the sources planned first do not answer.
    """

    async def scenario() -> None:
        async with make_site(*_EIGHT_NODES_IN_ZONE) as site:
            await site.settle(5)
            for node in site.nodes[:-2]:
                await node.stop()
            late, other = site.nodes[-2:]
            source = late.client._reader.source.peer
            assert source is not None
            assert not site.network.transports[source].is_up
            delays_s = [await _measure_delay_s(other, late) for _ in range(20)]
            # Only the call in flight when the member died waits for its timeout.
            assert sum(delay_s > _MAX_LIVE_DELAY_S for delay_s in delays_s) <= 1

    run_virtual(scenario())


async def _measure_delay_s(writer: Node, reader: Node) -> float:
    """Return the time from the verdict at `writer` until `reader` applies it."""
    offset = await _publish(writer)
    began_s = reader.clock.now_s()
    assert await reader.client.wait_applied(
        offset, deadline_s=reader.deadline_in(9)
    )
    took_s = reader.clock.now_s() - began_s
    await asyncio.sleep(0.7)
    return took_s


# Guards against a node whose peers lose what it needs whenever they load anew.
def test_records_stay_available_to_peers_when_a_state_goes_on() -> None:
    async def scenario() -> None:
        async with make_site('suva', 'nadi') as site:
            asker, peer = site.nodes
            await _publish(peer)
            await site.settle()
            await peer.client._load_state()
            page = await _fetch_page(asker, peer)
            assert page.is_kept
            assert page.records

    run_virtual(scenario())


# Guards against a back-off from the log while no peer has the records.
@pytest.mark.parametrize('cut_s', range(16, 24))
def test_log_is_read_soon_when_no_peer_has_the_records(cut_s: int) -> None:
    async def scenario() -> None:
        async with make_site(*_EIGHT_NODES_IN_ZONE, 'nadi') as site:
            behind = site.nodes[5]
            site.network.isolate(behind.address)
            behind.adapter.is_cut = True
            await site.settle(cut_s)
            offset = await _publish(site.nodes[0])
            await site.settle()
            for node in site.nodes:
                if node is not behind:
                    applied_offset = node.client.fleet.applied_offset
                    node.client.applier.recent.restart(applied_offset)
            behind.adapter.is_cut = False
            site.network.heal()
            assert await behind.client.wait_applied(
                offset, deadline_s=behind.deadline_in(2)
            )

    run_virtual(scenario())
