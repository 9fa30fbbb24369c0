"""Router: choice of doors, retries, hedges and outcomes."""

from verbenadeck.router._port import Router

__all__ = ('Router',)
