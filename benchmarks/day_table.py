"""Table of the days in journal entries of scores, as Markdown.

Run it with ``python -m benchmarks.day_table ENTRY...``; an entry is the
beginning of a file's name, or of the id in it.
"""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

_JOURNAL = Path(__file__).resolve().parent.parent / 'journal'
_MIN_PRICE = 0.01
_HEADER = (
    '| site | day | worth | one mark | served | refused | failed | classes | '
    'prices above 0.01 | CPU s charged | store calls | gate |'
)
_RULE = '|---|---|---|---|---|---|---|---|---|---|---|---|'


def _find_entry(name: str) -> dict[str, Any]:
    for path in sorted(_JOURNAL.glob('*.json')):
        if path.name.startswith(name) or path.stem.endswith(name):
            entry: dict[str, Any] = msgspec.json.decode(path.read_bytes())
            return entry
    sys.exit(f'no journal entry {name}')


def _quantity(day: dict[str, Any], name: str) -> float:
    return next(
        (amount for label, amount, _ in day['prices'] if label == name), 0
    )


def _make_row(site: str, day: dict[str, Any]) -> str:
    classes = ' '.join(
        f'{share:.3f}' for share in day['by_class'] if share is not None
    )
    prices = ', '.join(
        f'{label} {price:.3f}'
        for label, _, price in day['prices']
        if price > _MIN_PRICE
    )
    problems = '; '.join((*day['rules'], *day['short']))
    cells = (
        site,
        day['name'],
        f'{day["G"]:.3f}',
        f'{day["top"]:.3f}',
        f'{day["served"]:.3f}',
        f'{day["refused"]:.3f}',
        f'{day["failed"]:.3f}',
        classes,
        prices,
        f'{_quantity(day, "processor seconds"):.0f}',
        f'{_quantity(day, "cloud calls"):.0f}',
        problems or 'passed',
    )
    return f'| {" | ".join(cells)} |'


def _make_rows(names: list[str]) -> Iterator[str]:
    for name in names:
        entry = _find_entry(name)
        for day in entry['days']:
            yield _make_row(entry['site'], day)


def main() -> None:
    """Print the table of the entries named on the command line."""
    sys.stdout.write('\n'.join((_HEADER, _RULE, *_make_rows(sys.argv[1:]))))
    sys.stdout.write('\n')


if __name__ == '__main__':
    main()
