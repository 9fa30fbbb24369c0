"""Routes that operators publish, and what the node believes of them."""

from verbenadeck.routes._book import RouteBook
from verbenadeck.routes._document_sync import DocumentSync
from verbenadeck.routes._split import make_splitter
from verbenadeck.routes._table import (
    CallerLimits,
    OperatorState,
    Route,
    RoutePart,
    RouteTable,
    ServiceTerms,
)

__all__ = (
    'CallerLimits',
    'DocumentSync',
    'OperatorState',
    'Route',
    'RouteBook',
    'RoutePart',
    'RouteTable',
    'ServiceTerms',
    'make_splitter',
)
