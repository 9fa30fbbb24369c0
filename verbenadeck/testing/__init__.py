"""Virtual time, a fake network and a log in memory, for tests."""

from verbenadeck.testing._fake_network import FakeNetwork, FakePort
from verbenadeck.testing._memory_log import MemoryLog, MemoryLogAdapter
from verbenadeck.testing._virtual_loop import (
    VirtualLoop,
    run_virtual,
    virtual_clock,
)

__all__ = (
    'FakeNetwork',
    'FakePort',
    'MemoryLog',
    'MemoryLogAdapter',
    'VirtualLoop',
    'run_virtual',
    'virtual_clock',
)
