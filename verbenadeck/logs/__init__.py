"""Log lines: set-up, formats and cheap lines for each decision."""

from verbenadeck.logs._lines import (
    Line,
    Render,
    json_renderer,
    plain_renderer,
)
from verbenadeck.logs._setup import (
    Decide,
    Format,
    decision_log,
    setup_logs,
    teardown_logs,
)
from verbenadeck.logs._writer import LineWriter, Stream

__all__ = (
    'Decide',
    'Format',
    'Line',
    'LineWriter',
    'Render',
    'Stream',
    'decision_log',
    'json_renderer',
    'plain_renderer',
    'setup_logs',
    'teardown_logs',
)
