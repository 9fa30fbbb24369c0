"""Test doubles: virtual time, fake network, in-memory log, virtual fleet."""

from verbenadeck.testing._fake_network import FakeNetwork, FakeTransport
from verbenadeck.testing._fakes import FakeProxy, FakeUpstream
from verbenadeck.testing._fleet import (
    TwoOwnersError,
    VirtualFleet,
    keyed_document,
    zoned_specs,
)
from verbenadeck.testing._fleet_node import SERVICE, FleetNode, NodeSpec
from verbenadeck.testing._memory_log import MemoryLog, MemoryLogAdapter
from verbenadeck.testing._process import VirtualProcess, run_processes
from verbenadeck.testing._virtual_loop import (
    VirtualLoop,
    run_virtual,
    virtual_clock,
)

__all__ = (
    'SERVICE',
    'FakeProxy',
    'FakeUpstream',
    'FleetNode',
    'NodeSpec',
    'TwoOwnersError',
    'VirtualFleet',
    'VirtualProcess',
    'keyed_document',
    'run_processes',
    'zoned_specs',
    'FakeNetwork',
    'FakeTransport',
    'MemoryLog',
    'MemoryLogAdapter',
    'VirtualLoop',
    'run_virtual',
    'virtual_clock',
)
