"""Leases by witnesses and grants by fences."""

from verbenadeck.lease._view import DoorHandover, OwnershipView, Permit

__all__ = ('DoorHandover', 'OwnershipView', 'Permit')
