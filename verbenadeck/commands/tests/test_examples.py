from pathlib import Path

import pytest

from verbenadeck.commands import ExitCode
from verbenadeck.commands.tests.builders import ANA, LOG, Desk, run_words

_EXAMPLES = Path(__file__).parents[3] / 'examples'
_SITES = ('fiji', 'luzon')


@pytest.mark.parametrize('site', _SITES)
def test_settings_of_each_site_are_good(site: str) -> None:
    path = _EXAMPLES / f'{site}-node.json'
    code, shown = run_words(Desk(), 'check', str(path))
    assert (code, 'good settings' in shown) == (ExitCode.DONE, True)


@pytest.mark.parametrize('site', _SITES)
def test_documents_of_each_site_are_published(site: str) -> None:
    path = _EXAMPLES / f'{site}-configuration.json'
    outcome = run_words(Desk(), 'publish', str(path), LOG, ANA)
    assert outcome == (ExitCode.DONE, 'version 1 is published')
