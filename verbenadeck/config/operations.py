"""Operations of operators on the configuration in the log."""

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
    """Why a document is not known to be in force."""

    INVALID = 'invalid'
    CONFLICT = 'conflict'
    NOT_APPENDED = 'not-appended'
    UNKNOWN = 'unknown'


class PublishError(msgspec.Struct, frozen=True):
    """A document was not published.

    Parameters
    ----------
    failure : PublishFailure
        With `UNKNOWN` the document may come into force later. Repeating the
        operation is safe: it goes on from the version then in force.
    detail : str
        One sentence for the operator.
    problems : tuple of ConfigProblem
        All that is wrong, with `INVALID`.
    winner_author : str
        Author of the version in force, with `CONFLICT`.
    winner_version : ConfigVersion
        Version in force, with `CONFLICT`.
    """

    failure: PublishFailure
    detail: str
    problems: tuple[ConfigProblem, ...] = ()
    winner_author: str = ''
    winner_version: ConfigVersion = ConfigVersion(0)


PublishResult = Result[ConfigVersion, PublishError]


async def publish_document(
    journal: Journal,
    document: ConfigDocument,
    *,
    expected_version: ConfigVersion,
    author: str,
    deadline_s: float,
) -> PublishResult:
    """Replace the whole document if a version is still in force.

    Parameters
    ----------
    journal : Journal
        Log client.
    document : ConfigDocument
        New document; it is checked in full first.
    expected_version : ConfigVersion
        Version that the operator edited.
    author : str
        Who publishes it.
    deadline_s : float
        Moment on this VM's clock by which an answer is wanted.

    Returns
    -------
    Result of ConfigVersion, PublishError
        The new version once it is read back from the log.
    """
    problems = _check(document, author, journal.fleet)
    if problems:
        return Failure(_invalid(problems))
    record = ConfigPublished(
        expected_version, encode_document(document), author
    )
    answer = await journal.propose(record, deadline_s=deadline_s)
    if not is_successful(answer):
        return Failure(_unanswered(answer.failure()))
    verdict = answer.unwrap().verdict
    if verdict is Verdict.ACCEPTED:
        return Success(ConfigVersion(expected_version + 1))
    if verdict is Verdict.INVALID:
        detail = 'all nodes refuse the document; its services do not fit'
        return Failure(PublishError(PublishFailure.INVALID, detail))
    return Failure(_conflict(journal.fleet, expected_version))


async def apply_change(
    journal: Journal,
    change: DocumentChange,
    *,
    author: str,
    deadline_s: float,
) -> PublishResult:
    """Apply a change to the document in force, again after each conflict.

    It publishes a version even when the document stays the same. So an
    earlier operation whose outcome was unknown can't take effect after this
    one was acknowledged.

    Parameters
    ----------
    journal : Journal
        Log client.
    change : DocumentChange
        Change, such as `zone_out`.
    author : str
        Who makes it.
    deadline_s : float
        Moment on this VM's clock by which an answer is wanted.
    """
    while True:
        version = journal.fleet.config_version
        changed = change(journal.fleet.config)
        if not is_successful(changed):
            return Failure(_invalid(changed.failure()))
        published = await publish_document(
            journal,
            changed.unwrap(),
            expected_version=version,
            author=author,
            deadline_s=deadline_s,
        )
        if not _lost_race(published):
            return published


def _lost_race(published: PublishResult) -> bool:
    if is_successful(published):
        return False
    return published.failure().failure is PublishFailure.CONFLICT


def _check(
    document: ConfigDocument, author: str, fleet: FleetView
) -> tuple[ConfigProblem, ...]:
    raw = msgspec.to_builtins(document)
    problems = check_document(raw).swap().value_or(())
    if not author.strip():
        problems = (*problems, ConfigProblem('author', 'must not be empty'))
    return (*problems, *_check_shards(document, fleet))


def _check_shards(
    document: ConfigDocument, fleet: FleetView
) -> tuple[ConfigProblem, ...]:
    """Return problems with services whose shards are in the log already."""
    return tuple(
        ConfigProblem(
            f'services.{service}.shard_count',
            f'is fixed at {fleet.shard_count(service)}',
        )
        for service, policy in document.services.items()
        if fleet.shard_count(service) not in {0, policy.shard_count}
    )


def _invalid(problems: tuple[ConfigProblem, ...]) -> PublishError:
    detail = '; '.join(str(problem) for problem in problems)
    return PublishError(PublishFailure.INVALID, detail, problems)


def _conflict(fleet: FleetView, expected: ConfigVersion) -> PublishError:
    winner = fleet.config_version
    author = fleet.config_author
    detail = f'{author} published version {winner}; yours edits {expected}'
    return PublishError(
        PublishFailure.CONFLICT,
        detail,
        winner_author=author,
        winner_version=winner,
    )


def _unanswered(error: JournalError) -> PublishError:
    if error.failure is JournalFailure.NOT_APPENDED:
        failure = PublishFailure.NOT_APPENDED
    else:
        failure = PublishFailure.UNKNOWN
    return PublishError(failure, error.detail)
