"""Micro-kernel of a node."""

from verbenadeck.kernel._kernel import Kernel, KernelError, Service

__all__ = ('Kernel', 'KernelError', 'Service')
