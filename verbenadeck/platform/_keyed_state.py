"""Newest record of every key of a topic."""

import base64

import msgspec
from returns.result import Result, Success

from verbenadeck.adapters import LogError, LogFailure
from verbenadeck.model import Offset
from verbenadeck.platform._frames import failed

_OK = 200


class KeyedRecord(msgspec.Struct, frozen=True):
    """Newest record of a key."""

    key: str
    content: bytes
    offset: Offset


class KeyedState(msgspec.Struct, frozen=True):
    """Newest record of every key, complete up to an end.

    Parameters
    ----------
    records : tuple of KeyedRecord
        Records by rising offset.
    end_offset : Offset
        Position up to which they are complete.
    """

    records: tuple[KeyedRecord, ...]
    end_offset: Offset


class NewestItem(msgspec.Struct):
    """Newest record of a key, its content in base64."""

    key: str
    value: str
    offset: int


class NewestPage(msgspec.Struct, rename={'has_more': 'more'}):
    """Some of the newest records, and whether keys follow."""

    items: list[NewestItem]
    has_more: bool
    end: int

    @property
    def last_key(self) -> str:
        """Last key of the page."""
        return self.items[-1].key if self.items else ''


def read_newest(status: int, body: bytes) -> Result[NewestPage, LogError]:
    """Return one page of newest records."""
    if status != _OK:
        return failed(LogFailure.UNAVAILABLE, f'status {status}')
    try:
        return Success(msgspec.json.decode(body, type=NewestPage))
    except msgspec.MsgspecError as error:
        return failed(LogFailure.UNAVAILABLE, f'malformed: {error}')


def keyed_state(pages: list[NewestPage]) -> KeyedState:
    """Return the state that pages give as of the end of the first one."""
    end_offset = Offset(pages[0].end)
    found = {item.key: item for page in pages for item in page.items}
    kept = [
        KeyedRecord(item.key, base64.b64decode(item.value), Offset(item.offset))
        for item in found.values()
        if item.offset < end_offset
    ]
    kept.sort(key=lambda record: record.offset)
    return KeyedState(tuple(kept), end_offset)
