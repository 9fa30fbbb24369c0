"""Logging: set-up, line formats and buffered lines for frequent decisions."""

from verbenadeck.logs._lines import (
    Line,
    Render,
    json_renderer,
    plain_renderer,
)
from verbenadeck.logs._pipe import PipeStream
from verbenadeck.logs._setup import (
    Decide,
    Format,
    make_decision_logger,
    open_pipe,
    setup_logs,
    teardown_logs,
)
from verbenadeck.logs._writer import LineWriter, Stream

__all__ = (
    'Decide',
    'Format',
    'Line',
    'LineWriter',
    'PipeStream',
    'Render',
    'Stream',
    'make_decision_logger',
    'json_renderer',
    'open_pipe',
    'plain_renderer',
    'setup_logs',
    'teardown_logs',
)
