from pathlib import Path

import pytest

from verbenadeck.commands import ExitCode
from verbenadeck.commands.tests.builders import (
    AUTHOR_FLAG,
    LOG_FLAG,
    OperatorConsole,
    run_words,
)

_EXAMPLES = Path(__file__).parents[3] / 'examples'
_SITES = ('fiji', 'luzon')


@pytest.mark.parametrize('site', _SITES)
def test_example_settings_are_valid(site: str) -> None:
    path = _EXAMPLES / f'{site}-node.json'
    code, output = run_words(OperatorConsole(), 'check', str(path))
    assert (code, 'valid settings' in output) == (ExitCode.DONE, True)


@pytest.mark.parametrize('site', _SITES)
def test_example_document_can_be_published(site: str) -> None:
    path = _EXAMPLES / f'{site}-configuration.json'
    outcome = run_words(
        OperatorConsole(), 'publish', str(path), LOG_FLAG, AUTHOR_FLAG
    )
    assert outcome == (ExitCode.DONE, 'version 1 is published')
