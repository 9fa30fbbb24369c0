"""Demo of both sites: events under load, checked against an oracle."""

from verbenadeck.demo._report import SiteReport, table_of
from verbenadeck.demo._session import Session
from verbenadeck.demo._sites import (
    FIJI,
    LUZON,
    SITES,
    ServiceSpec,
    Site,
)

__all__ = (
    'FIJI',
    'LUZON',
    'SITES',
    'ServiceSpec',
    'Session',
    'Site',
    'SiteReport',
    'table_of',
)
