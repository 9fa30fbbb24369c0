"""Operations that publish the configuration document to the log."""

import enum

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from verbenadeck.config._changes import DocumentChange
from verbenadeck.config._document_rules import (
    check_document,
    encode_document,
)
from verbenadeck.config._problems import ConfigProblem
from verbenadeck.fleet import FleetView
from verbenadeck.journal import Journal, JournalError, JournalFailure
from verbenadeck.model import ConfigDocument, ConfigVersion
from verbenadeck.records import ConfigPublished, Verdict


class PublishFailure(enum.Enum):
    """Reason why publishing a document failed.

    Attributes
    ----------
    INVALID
        The document has problems and does not take effect.
    CONFLICT
        Another version was published first.
    NOT_APPENDED
        The record did not reach the log.
    UNKNOWN
        The record may be in the log; the outcome is unknown.
    """

    INVALID = 'invalid'
    CONFLICT = 'conflict'
    NOT_APPENDED = 'not-appended'
    UNKNOWN = 'unknown'


class PublishError(msgspec.Struct, frozen=True):
    """Error of an attempt to publish a document.

    Parameters
    ----------
    failure : PublishFailure
        Reason. After `UNKNOWN` the document may still take effect later;
        repeating the operation is safe because it starts from the version
        that is then current.
    detail : str
        Description of the error for the operator.
    problems : tuple of ConfigProblem
        All problems of the document, for `INVALID`.
    winner_author : str
        Author of the current version, for `CONFLICT`.
    winner_version : ConfigVersion
        Current version, for `CONFLICT`.
    """

    failure: PublishFailure
    detail: str
    problems: tuple[ConfigProblem, ...] = ()
    winner_author: str = ''
    winner_version: ConfigVersion = ConfigVersion(0)


PublishResult = Result[ConfigVersion, PublishError]
"""Published version, or why publishing failed."""


async def publish_document(
    journal: Journal,
    document: ConfigDocument,
    *,
    expected_version: ConfigVersion,
    author: str,
    deadline_s: float,
) -> PublishResult:
    """Replace the document if the expected version is still the current one.

    Parameters
    ----------
    journal : Journal
        Log client.
    document : ConfigDocument
        New document; it is checked before it is proposed.
    expected_version : ConfigVersion
        Version that the new document is based on.
    author : str
        Name of the operator, recorded with the version.
    deadline_s : float
        Deadline for the answer, in seconds on the monotonic clock of this VM.

    Returns
    -------
    Result of ConfigVersion, PublishError
        The new version, after it has been read back from the log.
    """
    problems = _find_problems(document, author, journal.fleet)
    if problems:
        return Failure(_invalid_error(problems))
    record = ConfigPublished(
        expected_version, encode_document(document), author
    )
    proposed = await journal.propose(record, deadline_s=deadline_s)
    if not is_successful(proposed):
        return Failure(_append_error(proposed.failure()))
    verdict = proposed.unwrap().verdict
    if verdict is Verdict.ACCEPTED:
        return Success(ConfigVersion(expected_version + 1))
    if verdict is Verdict.INVALID:
        detail = (
            'all nodes reject the document: its shard counts differ from those '
            'in the log or exceed the total limit'
        )
        return Failure(PublishError(PublishFailure.INVALID, detail))
    return Failure(_conflict_error(journal.fleet, expected_version))


async def apply_change(
    journal: Journal,
    change: DocumentChange,
    *,
    author: str,
    deadline_s: float,
) -> PublishResult:
    """Apply a change to the current document, with a retry after each conflict.

    A version is published even when the document does not change. The version
    number then rules out that an earlier operation of unknown outcome takes
    effect after this one was acknowledged.

    Parameters
    ----------
    journal : Journal
        Log client.
    change : DocumentChange
        Change to apply, such as the result of `zone_out`.
    author : str
        Name of the operator, recorded with the version.
    deadline_s : float
        Deadline for the answer, in seconds on the monotonic clock of this VM.
    """
    while True:
        version = journal.fleet.config_version
        changed = change(journal.fleet.config)
        if not is_successful(changed):
            return Failure(_invalid_error(changed.failure()))
        published = await publish_document(
            journal,
            changed.unwrap(),
            expected_version=version,
            author=author,
            deadline_s=deadline_s,
        )
        if not _is_conflict(published):
            return published


def _is_conflict(published: PublishResult) -> bool:
    if is_successful(published):
        return False
    return published.failure().failure is PublishFailure.CONFLICT


def _find_problems(
    document: ConfigDocument, author: str, fleet: FleetView
) -> tuple[ConfigProblem, ...]:
    raw = msgspec.to_builtins(document)
    problems = check_document(raw).swap().value_or(())
    if not author.strip():
        problems = (*problems, ConfigProblem('author', 'must not be empty'))
    return (*problems, *_check_shard_counts(document, fleet))


def _check_shard_counts(
    document: ConfigDocument, fleet: FleetView
) -> tuple[ConfigProblem, ...]:
    """Return problems of services whose shard count in the log differs."""
    return tuple(
        ConfigProblem(
            f'services.{service}.shard_count',
            f'is fixed at {fleet.shard_count(service)}',
        )
        for service, policy in document.services.items()
        if fleet.shard_count(service) not in {0, policy.shard_count}
    )


def _invalid_error(problems: tuple[ConfigProblem, ...]) -> PublishError:
    detail = '; '.join(str(problem) for problem in problems)
    return PublishError(PublishFailure.INVALID, detail, problems)


def _conflict_error(fleet: FleetView, expected: ConfigVersion) -> PublishError:
    winner = fleet.config_version
    author = fleet.config_author
    detail = f'{author} published version {winner}; yours edits {expected}'
    return PublishError(
        PublishFailure.CONFLICT,
        detail,
        winner_author=author,
        winner_version=winner,
    )


def _append_error(error: JournalError) -> PublishError:
    if error.failure is JournalFailure.NOT_APPENDED:
        failure = PublishFailure.NOT_APPENDED
    else:
        failure = PublishFailure.UNKNOWN
    return PublishError(failure, error.detail)
