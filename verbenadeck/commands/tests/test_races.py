"""Concurrent commands under faults of the log, checked against the log.

The test reads the accepted versions from the log. Each version must differ
from its predecessor only in the entry that its author changed, and the exit
code of each command must match whether its version was accepted.
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
from verbenadeck.commands.tests.builders import (
    LOG_FLAG,
    OperatorConsole,
    Outcome,
    make_fleet_console,
)
from verbenadeck.fleet import FleetState
from verbenadeck.model import ConfigDocument, Offset
from verbenadeck.records import ConfigPublished, Record, Verdict
from verbenadeck.testing import MemoryLog, run_virtual

_CODES_WITHOUT_CHANGE = frozenset(
    (
        ExitCode.CONFLICT,
        ExitCode.INVALID,
        ExitCode.NOT_FOUND,
        ExitCode.UNAVAILABLE,
    )
)
_CHANGED_FIELDS = MappingProxyType(
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
_EXTRA_FLAGS = MappingProxyType(
    {
        'exception add': ('--field=queue_limit', '--setting=8', '--zone=suva'),
    }
)


class _Step(msgspec.Struct, frozen=True):
    """Command of an operator, or fault of the log, at a virtual time."""

    at_s: float
    kind: str
    name: str = 'one'

    @property
    def target(self) -> str:
        part = _CHANGED_FIELDS[self.kind]
        return part if self.kind == 'publish' else f'{part}.{self.name}'


class _Version(msgspec.Struct, frozen=True):
    author: str
    parts: dict[str, Any]


async def _run_command(
    console: OperatorConsole, step: _Step, author: str
) -> Outcome:
    await asyncio.sleep(step.at_s)
    common = (LOG_FLAG, f'--author={author}', '--timeout_s=4')
    if step.kind == 'publish':
        return await _run_publish(console, author, common)
    words = (*step.kind.split(), step.name, *common, '--reason=why')
    forced = () if step.kind.startswith('exception') else ('--force',)
    extra = _EXTRA_FLAGS.get(step.kind, ())
    return await console.run(*words, *forced, *extra)


async def _run_publish(
    console: OperatorConsole, author: str, common: Any
) -> Outcome:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'document.json'
        moves = int(author.removeprefix('op')) + 1
        path.write_text(f'{{moves_per_minute: {moves}}}')
        return await console.run('publish', str(path), *common, '--expect=1')


async def _inject_fault(console: OperatorConsole, step: _Step) -> None:
    await asyncio.sleep(step.at_s)
    _FAULT_ACTIONS[step.kind](console)


def _lose_append_reply(console: OperatorConsole) -> None:
    console.log.lost_answers += 1


def _set_log_up(console: OperatorConsole, *, is_up: bool) -> None:
    console.log.is_up = is_up


def _set_log_unreadable(
    console: OperatorConsole, *, has_unreadable_log: bool
) -> None:
    console.has_unreadable_log = has_unreadable_log


_FAULT_ACTIONS: Mapping[str, Callable[[OperatorConsole], None]] = (
    MappingProxyType(
        {
            'lose-reply': _lose_append_reply,
            'down': partial(_set_log_up, is_up=False),
            'up': partial(_set_log_up, is_up=True),
            'block-reads': partial(
                _set_log_unreadable, has_unreadable_log=True
            ),
            'enable-reads': partial(
                _set_log_unreadable, has_unreadable_log=False
            ),
        }
    )
)


# A session reads the log for 0.5 s before it appends, which takes 0.01 s.
# The faults occur before, during and after the appends.
_starts_s = st.sampled_from((0, 0.005, 0.01, 0.02, 1))
_faults_s = st.sampled_from((0.4, 0.5, 0.505, 0.51, 0.515, 0.52, 1.2, 3))
_commands = st.builds(
    _Step,
    _starts_s,
    st.sampled_from(sorted(_CHANGED_FIELDS)),
    st.sampled_from(('one', 'two')),
)
_faults = st.builds(_Step, _faults_s, st.sampled_from(sorted(_FAULT_ACTIONS)))


def _flatten_document(document: ConfigDocument) -> dict[str, Any]:
    tree = msgspec.to_builtins(document)
    entries_by_part = {
        'zones_out': tree['zones_out'],
        'upstreams_out': tree['upstreams_out'],
        'exceptions': {rule['name']: rule for rule in tree['exceptions']},
    }
    flat = {
        f'{part}.{name}': state
        for part, states in entries_by_part.items()
        for name, state in states.items()
    }
    return flat | {'moves_per_minute': tree['moves_per_minute']}


def _read_versions(log: MemoryLog) -> list[_Version]:
    state = FleetState()
    found: list[_Version] = []

    def record_version(
        _offset: Offset, record: Record, verdict: Verdict
    ) -> None:
        accepted = verdict is Verdict.ACCEPTED
        if accepted and isinstance(record, ConfigPublished):
            author = record.author.partition(':')[0]
            found.append(_Version(author, _flatten_document(state.config)))

    state.subscribe(record_version)
    for index, payload in enumerate(log.records):
        state.apply(Offset(index), payload)
    return found


def _find_changed_parts(before: _Version, after: _Version) -> set[str]:
    names = before.parts.keys() | after.parts.keys()
    return {
        name
        for name in names
        if before.parts.get(name) != after.parts.get(name)
    }


def _check_outcomes(
    steps: list[_Step], outcomes: list[Outcome], versions: list[_Version]
) -> None:
    by_author = {f'op{index}': step for index, step in enumerate(steps)}
    for before, after in zip(versions, versions[1:], strict=False):
        assert _find_changed_parts(before, after) <= {
            by_author[after.author].target
        }
    for index, (code, text) in enumerate(outcomes):
        own = [
            own_version
            for own_version in versions
            if own_version.author == f'op{index}'
        ]
        assert len(own) <= 1
        if code in _CODES_WITHOUT_CHANGE:
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
    [
        _Step(0.4, 'lose-reply'),
        _Step(0.505, 'block-reads'),
        _Step(3, 'enable-reads'),
    ],
)
def test_concurrent_commands_report_what_took_effect(
    steps: list[_Step], faults: list[_Step]
) -> None:
    console = make_fleet_console()

    async def scenario() -> list[Outcome]:
        running = [
            _run_command(console, step, f'op{index}')
            for index, step in enumerate(steps)
        ]
        breaking = (_inject_fault(console, fault) for fault in faults)
        outcomes = asyncio.gather(*running)
        await asyncio.gather(*breaking)
        return await outcomes

    outcomes = run_virtual(scenario())
    _check_outcomes(steps, outcomes, _read_versions(console.log))
