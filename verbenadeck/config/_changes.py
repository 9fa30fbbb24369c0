"""Changes that operators make to the current configuration document."""

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
"""Function that returns the changed copy of the current document.

After a conflict with another operator it is applied again, to the newest
document, so it must change only the parts that its operator intends to change.
"""

_Name = TypeVar('_Name', Zone, NodeId)


def zone_out(zone: Zone, *, reason: str, since_s: float) -> DocumentChange:
    """Return a change that takes an availability zone out of service.

    A zone that is out of service already gets the new reason and keeps its
    start time.

    Parameters
    ----------
    zone : Zone
        Availability zone.
    reason : str
        Why the zone is out of service.
    since_s : float
        Unix time in seconds at which the zone went out of service.
    """

    def change(document: ConfigDocument) -> ChangeResult:
        updated = _add_entry(
            document.zones_out, zone, OutOfService(reason, since_s)
        )
        return Success(msgspec.structs.replace(document, zones_out=updated))

    return change


def zone_in(zone: Zone) -> DocumentChange:
    """Return a change that brings an availability zone back into service.

    Parameters
    ----------
    zone : Zone
        Availability zone; one that is in service is left unchanged.
    """

    def change(document: ConfigDocument) -> ChangeResult:
        updated = _remove_entry(document.zones_out, zone)
        return Success(msgspec.structs.replace(document, zones_out=updated))

    return change


def upstream_out(
    upstream: NodeId, *, reason: str, since_s: float
) -> DocumentChange:
    """Return a change that takes an upstream out of service.

    An upstream that is out of service already gets the new reason and keeps
    its start time.

    Parameters
    ----------
    upstream : NodeId
        Node ID of the upstream.
    reason : str
        Why the upstream is out of service.
    since_s : float
        Unix time in seconds at which the upstream went out of service.
    """

    def change(document: ConfigDocument) -> ChangeResult:
        state = OutOfService(reason, since_s)
        updated = _add_entry(document.upstreams_out, upstream, state)
        return Success(msgspec.structs.replace(document, upstreams_out=updated))

    return change


def upstream_in(upstream: NodeId) -> DocumentChange:
    """Return a change that brings an upstream back into service.

    Parameters
    ----------
    upstream : NodeId
        Node ID of the upstream; one that is in service is left unchanged.
    """

    def change(document: ConfigDocument) -> ChangeResult:
        updated = _remove_entry(document.upstreams_out, upstream)
        return Success(msgspec.structs.replace(document, upstreams_out=updated))

    return change


def add_exception(rule: ExceptionRule) -> DocumentChange:
    """Return a change that adds an exception.

    The change fails when the document has a different exception of the same
    name, and leaves the document unchanged when it has an equal one.

    Parameters
    ----------
    rule : ExceptionRule
        Exception to add.
    """

    def change(document: ConfigDocument) -> ChangeResult:
        if rule in document.exceptions:
            return Success(document)
        if any(other.name == rule.name for other in document.exceptions):
            return _exception_failure(rule.name, 'already exists and differs')
        rules = (*document.exceptions, rule)
        return Success(msgspec.structs.replace(document, exceptions=rules))

    return change


def remove_exception(name: str) -> DocumentChange:
    """Return a change that removes an exception.

    The change fails when the document has no exception of that name.

    Parameters
    ----------
    name : str
        Name of the exception.
    """

    def change(document: ConfigDocument) -> ChangeResult:
        rules = tuple(rule for rule in document.exceptions if rule.name != name)
        if len(rules) == len(document.exceptions):
            return _exception_failure(name, 'is not there')
        return Success(msgspec.structs.replace(document, exceptions=rules))

    return change


def _add_entry(
    entries: dict[_Name, OutOfService], name: _Name, state: OutOfService
) -> dict[_Name, OutOfService]:
    """Add or update an entry; an existing entry keeps its start time."""
    since_s = entries[name].since_s if name in entries else state.since_s
    return {**entries, name: OutOfService(state.reason, since_s)}


def _remove_entry(
    entries: dict[_Name, OutOfService], name: _Name
) -> dict[_Name, OutOfService]:
    return {other: state for other, state in entries.items() if other != name}


def _exception_failure(name: str, detail: str) -> ChangeResult:
    return Failure((ConfigProblem(f'exceptions.{name}', detail),))
