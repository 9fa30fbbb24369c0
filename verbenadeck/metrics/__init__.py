"""Metrics: counters, gauges, latency histograms and their text format."""

from verbenadeck.metrics._exposition import CONTENT_TYPE, make_exposition
from verbenadeck.metrics._latency import Latency
from verbenadeck.metrics._registry import (
    LatencyLabels,
    Metrics,
    OutcomeLabel,
    RequestLabels,
    outcome_label,
)

__all__ = (
    'CONTENT_TYPE',
    'Latency',
    'LatencyLabels',
    'Metrics',
    'OutcomeLabel',
    'RequestLabels',
    'make_exposition',
    'outcome_label',
)
