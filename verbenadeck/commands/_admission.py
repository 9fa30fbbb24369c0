"""Commands that take a zone or an upstream out of service and back."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from returns.result import Result

from verbenadeck.commands._changes import (
    check_known_name,
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

_FLAG_DEFINITIONS = (
    define_log_flags,
    define_author_flag,
    define_reason_flag,
    define_force_flag,
)


@dataclass(frozen=True, slots=True)
class _AdmissionTarget:
    """Kind of object that operators can take out of service.

    Parameters
    ----------
    name : str
        Name of the kind, as in the command.
    find_known_names : callable
        Returns the names of this kind that the fleet knows.
    make_out_change : callable
        Makes the change that takes an object out of service, given its name,
        the reason and the Unix time in seconds.
    make_in_change : callable
        Makes the change that brings an object back, given its name.
    """

    name: str
    find_known_names: Callable[[FleetView], Collection[str]]
    make_out_change: Callable[[str, str, float], DocumentChange]
    make_in_change: Callable[[str], DocumentChange]


def _find_known_zones(fleet: FleetView) -> Collection[str]:
    zones = {member.zone for member in fleet.members.values()}
    return zones | fleet.config.zones_out.keys()


def _find_known_upstreams(fleet: FleetView) -> Collection[str]:
    nodes = {member.node_id for member in fleet.members.values()}
    return nodes | fleet.config.upstreams_out.keys()


_ZONE = _AdmissionTarget(
    'zone',
    _find_known_zones,
    lambda name, reason, since_s: zone_out(
        Zone(name), reason=reason, since_s=since_s
    ),
    lambda name: zone_in(Zone(name)),
)
_UPSTREAM = _AdmissionTarget(
    'upstream',
    _find_known_upstreams,
    lambda name, reason, since_s: upstream_out(
        NodeId(name), reason=reason, since_s=since_s
    ),
    lambda name: upstream_in(NodeId(name)),
)


async def _run_admission_change(
    invocation: Invocation, target: _AdmissionTarget, *, is_out: bool
) -> CommandResult:
    name = invocation.arguments[0]
    reason = invocation.flag('reason').strip()
    since_s = invocation.environment.clock.wall_s()

    def make_change(fleet: FleetView) -> Result[DocumentChange, CommandError]:
        checked = check_known_name(
            invocation, target.name, name, target.find_known_names(fleet)
        )
        if is_out:
            return checked.map(
                lambda checked_name: target.make_out_change(
                    checked_name, reason, since_s
                )
            )
        return checked.map(target.make_in_change)

    state = 'out' if is_out else 'in'
    success_text = f'{target.name} {name} is {state}'
    return await run_change(invocation, make_change, success_text=success_text)


async def _run_zone_out(invocation: Invocation) -> CommandResult:
    return await _run_admission_change(invocation, _ZONE, is_out=True)


async def _run_zone_in(invocation: Invocation) -> CommandResult:
    return await _run_admission_change(invocation, _ZONE, is_out=False)


async def _run_upstream_out(invocation: Invocation) -> CommandResult:
    return await _run_admission_change(invocation, _UPSTREAM, is_out=True)


async def _run_upstream_in(invocation: Invocation) -> CommandResult:
    return await _run_admission_change(invocation, _UPSTREAM, is_out=False)


ADMISSION_COMMANDS = (
    Command(
        name='zone out',
        usage=('NAME',),
        summary='Take an availability zone out of service.',
        run=_run_zone_out,
        define_flags=_FLAG_DEFINITIONS,
        details=(
            'Proxies of the zone refuse new requests, and its shards move to\n'
            'other zones. Running requests finish. Repeating is safe.'
        ),
    ),
    Command(
        name='zone in',
        usage=('NAME',),
        summary='Bring an availability zone back into service.',
        run=_run_zone_in,
        define_flags=_FLAG_DEFINITIONS,
        details='Shards return only as fast as cold upstreams can take load.',
    ),
    Command(
        name='upstream out',
        usage=('NODE',),
        summary='Take the upstream beside a node out of service.',
        run=_run_upstream_out,
        define_flags=_FLAG_DEFINITIONS,
        details='It gets no new requests; its shards move to other upstreams.',
    ),
    Command(
        name='upstream in',
        usage=('NODE',),
        summary='Bring the upstream beside a node back into service.',
        run=_run_upstream_in,
        define_flags=_FLAG_DEFINITIONS,
    ),
)
