"""Racing operators under faults of the log, against a simple oracle.

The oracle reads the accepted versions from the log. Each version must
differ from the one before only in what its author meant, and each command
must have told the truth about its own version.
"""

import asyncio
import tempfile
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from types import MappingProxyType
from typing import Any

import msgspec
from hypothesis import example, given, settings
from hypothesis import strategies as st

from verbenadeck.commands import ExitCode
from verbenadeck.commands.tests.builders import LOG, Desk, Outcome, fleet_desk
from verbenadeck.fleet import FleetState
from verbenadeck.model import ConfigDocument, Offset
from verbenadeck.records import ConfigPublished, Record, Verdict
from verbenadeck.testing import MemoryLog, run_virtual

_NOTHING_CHANGED = frozenset(
    (
        ExitCode.CONFLICT,
        ExitCode.INVALID,
        ExitCode.NOT_FOUND,
        ExitCode.UNAVAILABLE,
    )
)
_TARGETS = MappingProxyType(
    {
        'zone out': 'zones_out',
        'zone in': 'zones_out',
        'upstream out': 'upstreams_out',
        'upstream in': 'upstreams_out',
        'exception add': 'exceptions',
        'exception remove': 'exceptions',
        'publish': 'moves_per_minute',
    }
)
_EXTRA = MappingProxyType(
    {
        'exception add': ('--field=queue_limit', '--setting=8', '--zone=suva'),
    }
)


class _Step(msgspec.Struct, frozen=True):
    """One command of an operator, or one fault of the log."""

    at_s: float
    kind: str
    name: str = 'one'

    @property
    def target(self) -> str:
        part = _TARGETS[self.kind]
        return part if self.kind == 'publish' else f'{part}.{self.name}'


class _Version(msgspec.Struct, frozen=True):
    author: str
    parts: dict[str, Any]


async def _command(desk: Desk, step: _Step, author: str) -> Outcome:
    await asyncio.sleep(step.at_s)
    common = (LOG, f'--author={author}', '--timeout_s=4')
    if step.kind == 'publish':
        return await _publish(desk, author, common)
    words = (*step.kind.split(), step.name, *common, '--reason=why')
    forced = () if step.kind.startswith('exception') else ('--force',)
    extra = _EXTRA.get(step.kind, ())
    return await desk.run(*words, *forced, *extra)


async def _publish(desk: Desk, author: str, common: Any) -> Outcome:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'document.json'
        moves = int(author.removeprefix('op')) + 1
        path.write_text(f'{{moves_per_minute: {moves}}}')
        return await desk.run('publish', str(path), *common, '--expect=1')


async def _fault(desk: Desk, step: _Step) -> None:
    await asyncio.sleep(step.at_s)
    _FAULTS[step.kind](desk)


def _lose(desk: Desk) -> None:
    desk.log.lost_answers += 1


def _set_up(desk: Desk, *, is_up: bool) -> None:
    desk.log.is_up = is_up


def _set_deaf(desk: Desk, *, is_deaf: bool) -> None:
    desk.is_deaf = is_deaf


_FAULTS: Mapping[str, Callable[[Desk], None]] = MappingProxyType(
    {
        'lose': _lose,
        'down': partial(_set_up, is_up=False),
        'up': partial(_set_up, is_up=True),
        'deaf': partial(_set_deaf, is_deaf=True),
        'hear': partial(_set_deaf, is_deaf=False),
    }
)


# A session reads the log for 0.5 s before it appends, which takes 0.01 s;
# the faults fall before, into and after the appends.
_starts_s = st.sampled_from((0, 0.005, 0.01, 0.02, 1))
_faults_s = st.sampled_from((0.4, 0.5, 0.505, 0.51, 0.515, 0.52, 1.2, 3))
_commands = st.builds(
    _Step,
    _starts_s,
    st.sampled_from(sorted(_TARGETS)),
    st.sampled_from(('one', 'two')),
)
_faults = st.builds(_Step, _faults_s, st.sampled_from(sorted(_FAULTS)))


def _parts(document: ConfigDocument) -> dict[str, Any]:
    tree = msgspec.to_builtins(document)
    named = {
        'zones_out': tree['zones_out'],
        'upstreams_out': tree['upstreams_out'],
        'exceptions': {rule['name']: rule for rule in tree['exceptions']},
    }
    flat = {
        f'{part}.{name}': state
        for part, states in named.items()
        for name, state in states.items()
    }
    return flat | {'moves_per_minute': tree['moves_per_minute']}


def _versions(log: MemoryLog) -> list[_Version]:
    state = FleetState()
    found: list[_Version] = []

    def note(_offset: Offset, record: Record, verdict: Verdict) -> None:
        accepted = verdict is Verdict.ACCEPTED
        if accepted and isinstance(record, ConfigPublished):
            author = record.author.partition(':')[0]
            found.append(_Version(author, _parts(state.config)))

    state.subscribe(note)
    for index, payload in enumerate(log.records):
        state.apply(Offset(index), payload)
    return found


def _changed(before: _Version, after: _Version) -> set[str]:
    names = before.parts.keys() | after.parts.keys()
    return {
        name
        for name in names
        if before.parts.get(name) != after.parts.get(name)
    }


def _check(
    steps: list[_Step], outcomes: list[Outcome], versions: list[_Version]
) -> None:
    by_author = {f'op{index}': step for index, step in enumerate(steps)}
    for before, after in zip(versions, versions[1:], strict=False):
        assert _changed(before, after) <= {by_author[after.author].target}
    for index, (code, text) in enumerate(outcomes):
        own = [one for one in versions if one.author == f'op{index}']
        assert len(own) <= 1
        if code in _NOTHING_CHANGED:
            assert not own, text
        if code is ExitCode.DONE:
            assert own or 'already' in text
            _check_effect(steps[index], own)


def _check_effect(step: _Step, own: list[_Version]) -> None:
    is_there = step.kind.endswith(('out', 'add', 'publish'))
    for version in own:
        assert (step.target in version.parts) is is_there


@settings(max_examples=120, derandomize=True, deadline=None)
@given(
    st.lists(_commands, min_size=1, max_size=6),
    st.lists(_faults, max_size=4),
)
@example(
    [_Step(0, 'zone out'), _Step(0.1, 'zone in'), _Step(0.1, 'publish')],
    [_Step(0.4, 'lose'), _Step(0.505, 'deaf'), _Step(3, 'hear')],
)
def test_operators_hear_the_truth(
    steps: list[_Step], faults: list[_Step]
) -> None:
    desk = fleet_desk()

    async def scenario() -> list[Outcome]:
        running = [
            _command(desk, step, f'op{index}')
            for index, step in enumerate(steps)
        ]
        breaking = (_fault(desk, fault) for fault in faults)
        outcomes = asyncio.gather(*running)
        await asyncio.gather(*breaking)
        return await outcomes

    outcomes = run_virtual(scenario())
    _check(steps, outcomes, _versions(desk.log))
