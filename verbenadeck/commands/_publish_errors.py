"""Conversion of publishing errors to command errors."""

from collections.abc import Mapping
from types import MappingProxyType

from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.config.operations import PublishError, PublishFailure

_EXIT_CODES: Mapping[PublishFailure, ExitCode] = MappingProxyType(
    {
        PublishFailure.INVALID: ExitCode.INVALID,
        PublishFailure.CONFLICT: ExitCode.CONFLICT,
        PublishFailure.NOT_APPENDED: ExitCode.UNAVAILABLE,
        PublishFailure.UNKNOWN: ExitCode.UNKNOWN,
    }
)
_TEXTS: Mapping[PublishFailure, str] = MappingProxyType(
    {
        PublishFailure.INVALID: 'the change is invalid',
        PublishFailure.CONFLICT: 'another change came first',
        PublishFailure.NOT_APPENDED: 'the log did not append the change, nothing changed',
        PublishFailure.UNKNOWN: 'it is unknown whether the change comes into force',
    }
)
_HINTS: Mapping[PublishFailure, str] = MappingProxyType(
    {
        PublishFailure.INVALID: 'Correct the change and run the command again.',
        PublishFailure.CONFLICT: (
            'Compare with `verbenadeck config`, then give the new --expect.'
        ),
        PublishFailure.NOT_APPENDED: 'Run the command again once the log is up.',
        PublishFailure.UNKNOWN: (
            'Run the same command again: this is safe and shows the outcome.'
        ),
    }
)


def make_publish_error(error: PublishError) -> CommandError:
    """Return the command error for a document that was not published.

    Parameters
    ----------
    error : PublishError
        Kind and detail of the failure.
    """
    failure = error.failure
    text = f'{_TEXTS[failure]}: {error.detail}'
    return CommandError(_EXIT_CODES[failure], text, _HINTS[failure])
