"""Errors of publishing as operators read them."""

from collections.abc import Mapping
from types import MappingProxyType

from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.config.operations import PublishError, PublishFailure

_CODES: Mapping[PublishFailure, ExitCode] = MappingProxyType(
    {
        PublishFailure.INVALID: ExitCode.INVALID,
        PublishFailure.CONFLICT: ExitCode.CONFLICT,
        PublishFailure.NOT_APPENDED: ExitCode.UNAVAILABLE,
        PublishFailure.UNKNOWN: ExitCode.UNKNOWN,
    }
)
_TEXTS: Mapping[PublishFailure, str] = MappingProxyType(
    {
        PublishFailure.INVALID: 'the change is refused',
        PublishFailure.CONFLICT: 'another operator was first',
        PublishFailure.NOT_APPENDED: 'the log took nothing, nothing changed',
        PublishFailure.UNKNOWN: 'the change may come into force or not',
    }
)
_HINTS: Mapping[PublishFailure, str] = MappingProxyType(
    {
        PublishFailure.INVALID: 'Correct it and run the command again.',
        PublishFailure.CONFLICT: (
            'Compare with `verbenadeck config`, then give the new --expect.'
        ),
        PublishFailure.NOT_APPENDED: 'Run the command again once the log is up.',
        PublishFailure.UNKNOWN: (
            'Run the same command again: that is safe, and tells the outcome.'
        ),
    }
)


def as_command_error(error: PublishError) -> CommandError:
    """Return the error of a command for a failed publication."""
    failure = error.failure
    text = f'{_TEXTS[failure]}: {error.detail}'
    return CommandError(_CODES[failure], text, _HINTS[failure])
