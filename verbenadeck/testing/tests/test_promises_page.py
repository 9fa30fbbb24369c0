"""The page of promises names tests that exist."""

import re
from pathlib import Path

_ROOT = Path(__file__).parents[3]
_TEST = re.compile(r'^(?:async )?def (test_\w+)', re.MULTILINE)


def test_every_test_that_the_page_names_exists() -> None:
    page = (_ROOT / 'docs' / 'PROMISES.md').read_text()
    named = set(re.findall(r'`(test_\w+)`', page))
    sources = (_ROOT / 'verbenadeck').glob('**/tests/test_*.py')
    defined = {
        name for path in sources for name in _TEST.findall(path.read_text())
    }
    assert named
    assert named <= defined, sorted(named - defined)
