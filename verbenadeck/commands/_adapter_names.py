"""Check that the adapters a settings file names are there."""

from collections.abc import Iterator

from returns.result import Failure, Result, Success

from verbenadeck.adapters import (
    CALLER_FORMATS,
    LOG_FORMATS,
    UPSTREAM_FORMATS,
)
from verbenadeck.settings import NodeSettings, Problem, SettingsErrors


def check_adapter_names(
    settings: NodeSettings, *, source: str
) -> Result[NodeSettings, SettingsErrors]:
    """Return the settings, or a problem for each unknown adapter."""
    problems = tuple(_problems(settings))
    if problems:
        lines = (0,) * len(problems)
        return Failure(SettingsErrors(source, problems, lines))
    return Success(settings)


def _problems(settings: NodeSettings) -> Iterator[Problem]:
    used = (
        ('log', settings.log.adapter, LOG_FORMATS),
        ('upstream', settings.upstream.adapter, UPSTREAM_FORMATS),
        ('callers', settings.callers.adapter, CALLER_FORMATS),
    )
    for name, adapter, known in used:
        if adapter not in known:
            names = ', '.join(known)
            text = f'is unknown: {adapter}; known are: {names}'
            yield Problem((name, 'adapter'), text)
