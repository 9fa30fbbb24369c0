import itertools
import json
from collections.abc import Iterator
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenadeck.settings._errors import FieldPath
from verbenadeck.settings._line_numbers import line_numbers, line_of

_names = st.text(alphabet='abc{}[],:/* ', min_size=1, max_size=4)
_trees = st.recursive(
    st.none(),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(_names, inner, max_size=4),
    ),
    max_leaves=12,
)


def _number_leaves(tree: Any, numbers: Iterator[int]) -> Any:
    """Replace each leaf by a number that stands nowhere else."""
    if isinstance(tree, dict):
        return {
            name: _number_leaves(inner, numbers) for name, inner in tree.items()
        }
    if isinstance(tree, list):
        return [_number_leaves(inner, numbers) for inner in tree]
    return next(numbers)


def _leaves(tree: Any, path: FieldPath = ()) -> Iterator[tuple[FieldPath, int]]:
    if isinstance(tree, dict):
        for name, inner in tree.items():
            yield from _leaves(inner, (*path, name))
    elif isinstance(tree, list):
        for index, inner in enumerate(tree):
            yield from _leaves(inner, (*path, index))
    else:
        yield path, tree


@settings(max_examples=200, derandomize=True, deadline=None)
@given(_trees)
def test_every_leaf_is_found_on_its_line(tree: Any) -> None:
    numbered = _number_leaves(tree, itertools.count(1000))
    text = json.dumps(numbered, indent=1)
    lines = line_numbers(text)
    for path, number in _leaves(numbered):
        line = text.splitlines()[line_of(path, lines) - 1]
        assert str(number) in line


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.text(alphabet='{}[]:,"\'/*\n a1', max_size=40))
def test_any_text_has_lines(text: str) -> None:
    assert line_numbers(text)[()] == 1
