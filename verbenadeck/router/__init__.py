"""Router: choice of doors, retries, hedges and outcomes."""

from verbenadeck.router._choice import Choice, Choose, choose_by_wait
from verbenadeck.router._port import Router
from verbenadeck.router._router import DoorRouter
from verbenadeck.router._stats import DoorStats

__all__ = (
    'Choice',
    'Choose',
    'DoorRouter',
    'DoorStats',
    'Router',
    'choose_by_wait',
)
