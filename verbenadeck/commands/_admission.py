"""Commands `zone` and `upstream`: out of service and back."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from returns.result import Result

from verbenadeck.commands._changes import (
    check_name,
    define_force_flag,
    define_reason_flag,
    run_change,
)
from verbenadeck.commands._command import Command, CommandResult, Invocation
from verbenadeck.commands._log_flags import (
    define_author_flag,
    define_log_flags,
)
from verbenadeck.commands._outcomes import CommandError
from verbenadeck.config import (
    DocumentChange,
    upstream_in,
    upstream_out,
    zone_in,
    zone_out,
)
from verbenadeck.fleet import FleetView
from verbenadeck.model import NodeId, Zone

_FLAGS = (
    define_log_flags,
    define_author_flag,
    define_reason_flag,
    define_force_flag,
)


@dataclass(frozen=True, slots=True)
class _Kind:
    """What may be taken out of service."""

    name: str
    known: Callable[[FleetView], Collection[str]]
    take_out: Callable[[str, str, float], DocumentChange]
    bring_in: Callable[[str], DocumentChange]


def _known_zones(fleet: FleetView) -> Collection[str]:
    zones = {member.zone for member in fleet.members.values()}
    return zones | fleet.config.zones_out.keys()


def _known_upstreams(fleet: FleetView) -> Collection[str]:
    nodes = {member.node_id for member in fleet.members.values()}
    return nodes | fleet.config.upstreams_out.keys()


_ZONE = _Kind(
    'zone',
    _known_zones,
    lambda name, reason, since_s: zone_out(
        Zone(name), reason=reason, since_s=since_s
    ),
    lambda name: zone_in(Zone(name)),
)
_UPSTREAM = _Kind(
    'upstream',
    _known_upstreams,
    lambda name, reason, since_s: upstream_out(
        NodeId(name), reason=reason, since_s=since_s
    ),
    lambda name: upstream_in(NodeId(name)),
)


async def _run(
    invocation: Invocation, kind: _Kind, *, is_out: bool
) -> CommandResult:
    name = invocation.arguments[0]
    reason = invocation.flag('reason').strip()
    since_s = invocation.environment.clock.wall_s()

    def make(fleet: FleetView) -> Result[DocumentChange, CommandError]:
        known = check_name(invocation, kind.name, name, kind.known(fleet))
        if is_out:
            return known.map(lambda one: kind.take_out(one, reason, since_s))
        return known.map(kind.bring_in)

    state = 'out' if is_out else 'in'
    shown = f'{kind.name} {name} is {state}'
    return await run_change(invocation, make, shown=shown)


async def _zone_out(invocation: Invocation) -> CommandResult:
    return await _run(invocation, _ZONE, is_out=True)


async def _zone_in(invocation: Invocation) -> CommandResult:
    return await _run(invocation, _ZONE, is_out=False)


async def _upstream_out(invocation: Invocation) -> CommandResult:
    return await _run(invocation, _UPSTREAM, is_out=True)


async def _upstream_in(invocation: Invocation) -> CommandResult:
    return await _run(invocation, _UPSTREAM, is_out=False)


ADMISSION_COMMANDS = (
    Command(
        name='zone out',
        usage=('NAME',),
        summary='Take an availability zone out of service.',
        run=_zone_out,
        define_flags=_FLAGS,
        details=(
            'Its doors refuse new work and its shards move to other zones.\n'
            'Running requests finish. Repeating the command is safe.'
        ),
    ),
    Command(
        name='zone in',
        usage=('NAME',),
        summary='Bring an availability zone back into service.',
        run=_zone_in,
        define_flags=_FLAGS,
        details='Shards return at a pace that cold upstreams can bear.',
    ),
    Command(
        name='upstream out',
        usage=('NODE',),
        summary='Take the upstream beside a node out of service.',
        run=_upstream_out,
        define_flags=_FLAGS,
        details='It gets no new work; its shards move to other upstreams.',
    ),
    Command(
        name='upstream in',
        usage=('NODE',),
        summary='Bring the upstream beside a node back into service.',
        run=_upstream_in,
        define_flags=_FLAGS,
    ),
)
