"""Request router: selects proxies, retries, hedges and reports outcomes."""

from verbenadeck.router._choice import (
    ChooseProxy,
    ProxyChoice,
    choose_by_expected_wait,
)
from verbenadeck.router._interface import Router
from verbenadeck.router._options import RetryOptions, RouterOptions
from verbenadeck.router._router import ProxyRouter
from verbenadeck.router._stats import ProxyStats

__all__ = (
    'ProxyChoice',
    'ChooseProxy',
    'ProxyRouter',
    'ProxyStats',
    'RetryOptions',
    'Router',
    'RouterOptions',
    'choose_by_expected_wait',
)
