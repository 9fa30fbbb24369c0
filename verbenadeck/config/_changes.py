"""Changes that operators make to the document in force."""

from collections.abc import Callable
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.config._problems import ConfigProblem
from verbenadeck.model import (
    ConfigDocument,
    ExceptionRule,
    NodeId,
    OutOfService,
    Zone,
)

ChangeResult = Result[ConfigDocument, tuple[ConfigProblem, ...]]
DocumentChange = Callable[[ConfigDocument], ChangeResult]
"""Turns the document in force into the wanted one.

It is applied anew to the newest document when another operator was first,
so it must touch only what its operator means.
"""

_Name = TypeVar('_Name', Zone, NodeId)


def zone_out(zone: Zone, *, reason: str, since_s: float) -> DocumentChange:
    """Take an availability zone out of service."""

    def change(document: ConfigDocument) -> ChangeResult:
        out = _with(document.zones_out, zone, OutOfService(reason, since_s))
        return Success(msgspec.structs.replace(document, zones_out=out))

    return change


def zone_in(zone: Zone) -> DocumentChange:
    """Bring an availability zone back into service."""

    def change(document: ConfigDocument) -> ChangeResult:
        out = _without(document.zones_out, zone)
        return Success(msgspec.structs.replace(document, zones_out=out))

    return change


def upstream_out(
    upstream: NodeId, *, reason: str, since_s: float
) -> DocumentChange:
    """Take an upstream, by the name of its node, out of service."""

    def change(document: ConfigDocument) -> ChangeResult:
        state = OutOfService(reason, since_s)
        out = _with(document.upstreams_out, upstream, state)
        return Success(msgspec.structs.replace(document, upstreams_out=out))

    return change


def upstream_in(upstream: NodeId) -> DocumentChange:
    """Bring an upstream back into service."""

    def change(document: ConfigDocument) -> ChangeResult:
        out = _without(document.upstreams_out, upstream)
        return Success(msgspec.structs.replace(document, upstreams_out=out))

    return change


def add_exception(rule: ExceptionRule) -> DocumentChange:
    """Add an exception; one of the same name must be the same."""

    def change(document: ConfigDocument) -> ChangeResult:
        if rule in document.exceptions:
            return Success(document)
        if any(other.name == rule.name for other in document.exceptions):
            return _problem(rule.name, 'is there already and differs')
        rules = (*document.exceptions, rule)
        return Success(msgspec.structs.replace(document, exceptions=rules))

    return change


def remove_exception(name: str) -> DocumentChange:
    """Remove an exception by its name."""

    def change(document: ConfigDocument) -> ChangeResult:
        rules = tuple(rule for rule in document.exceptions if rule.name != name)
        if len(rules) == len(document.exceptions):
            return _problem(name, 'is not there')
        return Success(msgspec.structs.replace(document, exceptions=rules))

    return change


def _with(
    out: dict[_Name, OutOfService], name: _Name, state: OutOfService
) -> dict[_Name, OutOfService]:
    """Add a name; one that is out already keeps its time."""
    since_s = out[name].since_s if name in out else state.since_s
    return {**out, name: OutOfService(state.reason, since_s)}


def _without(
    out: dict[_Name, OutOfService], name: _Name
) -> dict[_Name, OutOfService]:
    return {other: state for other, state in out.items() if other != name}


def _problem(name: str, detail: str) -> ChangeResult:
    return Failure((ConfigProblem(f'exceptions.{name}', detail),))
