"""Stand-ins of the platform's log, store and upstreams for tests and demos."""

from verbenadeck.standins._announcer import announce_periodically
from verbenadeck.standins._cold_start import ColdStart, Overrun
from verbenadeck.standins._grants import GrantTable
from verbenadeck.standins._log_server import ExpireBody, make_log_app
from verbenadeck.standins._log_store import LogFaults, LogStore, Stream
from verbenadeck.standins._serving import (
    ListenAddress,
    StartedApp,
    crash,
    create_shutdown_event,
    print_listen_address,
    start_app,
)
from verbenadeck.standins._store_app import (
    StoreFaults,
    StoreStandin,
    make_store_app,
)
from verbenadeck.standins._upstream_options import (
    EchoBody,
    LoadLie,
    RunsReport,
    ServedRun,
    ServingReport,
    UpstreamFaults,
    UpstreamOptions,
)
from verbenadeck.standins._upstream_server import (
    echo_digest,
    make_upstream_app,
)
from verbenadeck.standins._upstream_state import (
    RefusalReason,
    RequestFields,
    UpstreamState,
)

__all__ = (
    'ColdStart',
    'EchoBody',
    'ExpireBody',
    'GrantTable',
    'ListenAddress',
    'LoadLie',
    'LogFaults',
    'LogStore',
    'RequestFields',
    'Overrun',
    'RefusalReason',
    'RunsReport',
    'ServedRun',
    'ServingReport',
    'StartedApp',
    'StoreFaults',
    'StoreStandin',
    'Stream',
    'UpstreamFaults',
    'UpstreamOptions',
    'UpstreamState',
    'announce_periodically',
    'print_listen_address',
    'crash',
    'echo_digest',
    'create_shutdown_event',
    'make_log_app',
    'make_store_app',
    'make_upstream_app',
    'start_app',
)
