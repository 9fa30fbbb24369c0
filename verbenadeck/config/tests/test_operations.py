import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from verbenadeck.config import (
    DocumentChange,
    add_exception,
    remove_exception,
    upstream_in,
    upstream_out,
    zone_in,
    zone_out,
)
from verbenadeck.config.operations import (
    PublishFailure,
    PublishResult,
    apply_change,
    publish_document,
)
from verbenadeck.config.tests.builders import (
    HOLDS,
    make_document,
    make_rule,
)
from verbenadeck.journal.tests.builders import LogFleet, Node, make_site
from verbenadeck.model import (
    ConfigDocument,
    ConfigVersion,
    NodeId,
    ServicePolicy,
    Zone,
)
from verbenadeck.testing import MemoryLog, run_virtual

_SUVA = Zone('suva')
_NADI = Zone('nadi')


async def _publish(
    node: Node, document: ConfigDocument, version: int, author: str = 'ana'
) -> PublishResult:
    return await publish_document(
        node.client,
        document,
        expected_version=ConfigVersion(version),
        author=author,
        deadline_s=node.deadline_in(10),
    )


async def _apply(
    node: Node,
    change: DocumentChange,
    *,
    author: str = 'ana',
    wait_s: float = 10,
) -> PublishResult:
    return await apply_change(
        node.client, change, author=author, deadline_s=node.deadline_in(wait_s)
    )


def _take_zone_out(zone: Zone, reason: str = 'flood') -> DocumentChange:
    return zone_out(zone, reason=reason, since_s=5)


@asynccontextmanager
async def _fleet_with_document() -> AsyncIterator[LogFleet]:
    """Start two nodes on a log with version 1 of a document."""
    log = MemoryLog(retains_newest=False)
    async with make_site('suva', 'nadi', log=log) as site:
        published = await _publish(site.nodes[0], make_document(), 0)
        assert published.unwrap() == 1
        await site.settle()
        yield site


def test_concurrent_publish_reports_author_and_version_of_the_winner() -> None:
    async def scenario() -> None:
        async with _fleet_with_document() as site:
            answers = await asyncio.gather(
                _publish(site.nodes[0], make_document(), 1, 'ana'),
                _publish(site.nodes[1], make_document(), 1, 'ben'),
            )
            errors = [a.failure() for a in answers if a.value_or(None) is None]
            assert len(errors) == 1
            assert errors[0].failure is PublishFailure.CONFLICT
            assert errors[0].winner_version == 2
            winner = site.nodes[0].client.fleet.config_author
            assert errors[0].winner_author == winner
            assert winner in errors[0].detail

    run_virtual(scenario())


def test_concurrent_changes_are_all_applied() -> None:
    async def scenario() -> None:
        async with _fleet_with_document() as site:
            first, second = site.nodes
            answers = await asyncio.gather(
                _apply(first, _take_zone_out(_SUVA), author='ana'),
                _apply(second, _take_zone_out(_NADI), author='ben'),
                _apply(first, add_exception(make_rule()), author='ana'),
                _apply(
                    second,
                    upstream_out(NodeId('n'), reason='disk', since_s=1),
                    author='ben',
                ),
            )
            versions = sorted(answer.unwrap() for answer in answers)
            assert versions == [2, 3, 4, 5]
            await site.settle()
            for node in site.nodes:
                config = node.client.fleet.config
                assert set(config.zones_out) == {_SUVA, _NADI}
                assert config.exceptions == (make_rule(),)
                assert list(config.upstreams_out) == ['n']

    run_virtual(scenario())


def test_each_change_is_undone_only_by_its_opposite() -> None:
    async def scenario() -> None:
        async with _fleet_with_document() as site:
            node = site.nodes[0]
            out = upstream_out(NodeId('n'), reason='disk', since_s=1)
            for change in (
                _take_zone_out(_SUVA),
                _take_zone_out(_NADI),
                out,
                zone_in(_SUVA),
            ):
                assert (await _apply(node, change)).unwrap()
            assert list(node.client.fleet.config.zones_out) == [_NADI]
            for change in (upstream_in(NodeId('n')), zone_in(_NADI)):
                assert (await _apply(node, change)).unwrap()
            assert node.client.fleet.config == make_document()

    run_virtual(scenario())


def test_repeated_zone_out_keeps_the_start_time() -> None:
    async def scenario() -> None:
        async with _fleet_with_document() as site:
            node = site.nodes[0]
            await _apply(node, _take_zone_out(_SUVA))
            repeated = zone_out(_SUVA, reason='still', since_s=99)
            await _apply(node, repeated)
            state = node.client.fleet.config.zones_out[_SUVA]
            assert (state.reason, state.since_s) == ('still', 5)

    run_virtual(scenario())


def test_add_exception_rejects_a_different_one_of_the_same_name() -> None:
    async def scenario() -> None:
        async with _fleet_with_document() as site:
            node = site.nodes[0]
            assert (await _apply(node, add_exception(make_rule()))).unwrap()
            assert (await _apply(node, add_exception(make_rule()))).unwrap()
            other = make_rule(setting=9)
            conflicting = (await _apply(node, add_exception(other))).failure()
            assert conflicting.failure is PublishFailure.INVALID
            assert 'differs' in conflicting.detail
            removed = remove_exception('slow-nadi')
            assert (await _apply(node, removed)).unwrap()
            missing = (await _apply(node, removed)).failure()
            assert 'is not there' in missing.detail

    run_virtual(scenario())


def test_invalid_document_is_not_appended_to_the_log() -> None:
    async def scenario() -> None:
        async with _fleet_with_document() as site:
            node = site.nodes[0]
            count = len(site.log.records)
            no_reason = (
                await _apply(node, _take_zone_out(_SUVA, ' '))
            ).failure()
            assert no_reason.problems[0].path == 'zones_out.suva.reason'
            no_author = (
                await _apply(node, _take_zone_out(_SUVA), author='')
            ).failure()
            assert no_author.problems[0].path == 'author'
            more_shards = ConfigDocument(
                services={HOLDS: ServicePolicy(shard_count=16)}
            )
            rejected = (await _publish(node, more_shards, 1)).failure()
            assert rejected.problems[0].detail == 'is fixed at 8'
            assert len(site.log.records) == count

    run_virtual(scenario())


def test_log_outage_reports_not_appended_or_unknown_outcome() -> None:
    async def scenario() -> None:
        async with _fleet_with_document() as site:
            node = site.nodes[0]
            site.log.is_up = False
            outage = (
                await _apply(node, _take_zone_out(_SUVA), wait_s=3)
            ).failure()
            assert outage.failure is PublishFailure.NOT_APPENDED
            site.log.is_up = True
            node.adapter.fails_reads = True
            site.network.isolate(node.address)
            unread_append = (
                await _apply(node, _take_zone_out(_SUVA), wait_s=3)
            ).failure()
            assert unread_append.failure is PublishFailure.UNKNOWN
            node.adapter.fails_reads = False
            await site.settle(10)
            assert (await _apply(node, _take_zone_out(_SUVA))).unwrap() == 3

    run_virtual(scenario())


def test_delayed_operation_never_undoes_a_later_acknowledged_one() -> None:
    async def scenario() -> None:
        async with _fleet_with_document() as site:
            node = site.nodes[0]
            node.adapter.holds_appends = True
            site.network.isolate(node.address)
            unknown = (
                await _apply(node, _take_zone_out(_SUVA), wait_s=3)
            ).failure()
            assert unknown.failure is PublishFailure.UNKNOWN
            other = site.nodes[1]
            assert (await _apply(other, zone_in(_SUVA))).unwrap() == 2
            node.adapter.release_appends()
            await site.settle()
            assert other.client.fleet.config_version == 2
            assert not other.client.fleet.config.zones_out

    run_virtual(scenario())
