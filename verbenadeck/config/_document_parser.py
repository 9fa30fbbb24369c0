"""Parsing of documents as operators write them: JSON with comments."""

import json5
from returns.result import Failure

from verbenadeck.config._document_rules import CheckResult, check_document
from verbenadeck.config._problems import ConfigProblem


def parse_document(text: str) -> CheckResult:
    """Parse and check a document in JSON with comments.

    A duplicate key is an error, since one of the two values would be lost.

    Parameters
    ----------
    text : str
        Document as JSON with comments.

    Returns
    -------
    Result
        The document, or all its problems.

    Examples
    --------
    >>> parse_document('{moves_per_minute: 5 /* slow */}').map(
    ...     lambda document: document.moves_per_minute
    ... )
    <Success: 5>
    """
    try:
        raw = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        return Failure((ConfigProblem('(document)', str(error)),))
    return check_document(raw)
