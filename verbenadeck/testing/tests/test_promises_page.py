"""Test names on the page of promises, checked against the source."""

import re
from pathlib import Path

_REPOSITORY_ROOT = Path(__file__).parents[3]
_TEST_DEFINITION = re.compile(r'^(?:async )?def (test_\w+)', re.MULTILINE)


def test_tests_named_on_promises_page_exist() -> None:
    page = (_REPOSITORY_ROOT / 'docs' / 'PROMISES.md').read_text()
    named = set(re.findall(r'`(test_\w+)`', page))
    sources = (_REPOSITORY_ROOT / 'verbenadeck').glob('**/tests/test_*.py')
    defined = {
        name
        for path in sources
        for name in _TEST_DEFINITION.findall(path.read_text())
    }
    assert named
    assert named <= defined, sorted(named - defined)
