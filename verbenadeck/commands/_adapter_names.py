"""Validation of the adapter names in a settings file."""

from collections.abc import Iterator

from returns.result import Failure, Result, Success

from verbenadeck.adapters import (
    CALLER_FORMATS,
    LOG_ADAPTERS,
    UPSTREAM_ADAPTERS,
)
from verbenadeck.settings import NodeSettings, SettingsErrors, SettingsProblem


def check_adapter_names(
    settings: NodeSettings, *, source: str
) -> Result[NodeSettings, SettingsErrors]:
    """Return the settings, or a problem for each unknown adapter.

    Parameters
    ----------
    settings : NodeSettings
        Settings of a node.
    source : str
        Name of the settings file, for the error message.
    """
    problems = tuple(_find_unknown_adapters(settings))
    if problems:
        lines = (0,) * len(problems)
        return Failure(SettingsErrors(source, problems, lines))
    return Success(settings)


def _find_unknown_adapters(settings: NodeSettings) -> Iterator[SettingsProblem]:
    used = (
        ('log', settings.log.adapter, LOG_ADAPTERS),
        ('upstream', settings.upstream.adapter, UPSTREAM_ADAPTERS),
        ('callers', settings.callers.adapter, CALLER_FORMATS),
    )
    for name, adapter, known in used:
        if adapter not in known:
            names = ', '.join(known)
            text = f'is unknown: {adapter}; known are: {names}'
            yield SettingsProblem((name, 'adapter'), text)
