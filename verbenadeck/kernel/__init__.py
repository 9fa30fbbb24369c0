"""Microkernel of a node: service registry and start order."""

from verbenadeck.kernel._kernel import Kernel, KernelError, Service

__all__ = ('Kernel', 'KernelError', 'Service')
