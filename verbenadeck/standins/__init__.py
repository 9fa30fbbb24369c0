"""Stand-ins of the platform's log and of upstreams, for tests and demos."""

from verbenadeck.standins._announcer import announce_for_ever
from verbenadeck.standins._cold_start import ColdStart, Overrun
from verbenadeck.standins._grants import GrantTable
from verbenadeck.standins._log_server import ExpireBody, make_log_app
from verbenadeck.standins._log_store import LogFaults, LogStore, Stream
from verbenadeck.standins._serving import (
    ListenAddress,
    Started,
    announce_listening,
    crash,
    end_event,
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
    OrderFields,
    Refused,
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
    'OrderFields',
    'Overrun',
    'Refused',
    'RunsReport',
    'ServedRun',
    'ServingReport',
    'Started',
    'StoreFaults',
    'StoreStandin',
    'Stream',
    'UpstreamFaults',
    'UpstreamOptions',
    'UpstreamState',
    'announce_for_ever',
    'announce_listening',
    'crash',
    'echo_digest',
    'end_event',
    'make_log_app',
    'make_store_app',
    'make_upstream_app',
    'start_app',
)
