import itertools
import json
from collections.abc import Iterator
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenadeck.settings._errors import FieldPath
from verbenadeck.settings._line_numbers import line_numbers, line_of

_names = st.text(alphabet='abc{}[],:/* ', min_size=1, max_size=4)
_json_values = st.recursive(
    st.none(),
    lambda element: st.one_of(
        st.lists(element, max_size=4),
        st.dictionaries(_names, element, max_size=4),
    ),
    max_leaves=12,
)


def _number_leaves(raw: Any, numbers: Iterator[int]) -> Any:
    """Replace each leaf by a unique number."""
    if isinstance(raw, dict):
        return {
            name: _number_leaves(element, numbers)
            for name, element in raw.items()
        }
    if isinstance(raw, list):
        return [_number_leaves(element, numbers) for element in raw]
    return next(numbers)


def _leaves(raw: Any, path: FieldPath = ()) -> Iterator[tuple[FieldPath, int]]:
    if isinstance(raw, dict):
        for name, element in raw.items():
            yield from _leaves(element, (*path, name))
    elif isinstance(raw, list):
        for index, element in enumerate(raw):
            yield from _leaves(element, (*path, index))
    else:
        yield path, raw


@settings(max_examples=200, derandomize=True, deadline=None)
@given(_json_values)
def test_line_of_each_leaf_is_the_line_that_contains_it(raw: Any) -> None:
    numbered = _number_leaves(raw, itertools.count(1000))
    text = json.dumps(numbered, indent=1)
    lines = line_numbers(text)
    for path, number in _leaves(numbered):
        line = text.splitlines()[line_of(path, lines) - 1]
        assert str(number) in line


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.text(alphabet='{}[]:,"\'/*\n a1', max_size=40))
def test_line_numbers_accepts_arbitrary_text(text: str) -> None:
    assert line_numbers(text)[()] == 1
