"""Newest record of every key of a topic."""

from typing import Annotated

import msgspec
from returns.result import Result, Success

from verbenadeck.adapters import LogError, LogFailure
from verbenadeck.model import Era, Offset
from verbenadeck.platform._frames import make_failure

_OK = 200
_Offset = Annotated[int, msgspec.Meta(ge=0)]


class KeyedRecord(msgspec.Struct, frozen=True):
    """Newest record of a key.

    Parameters
    ----------
    key : str
        The key.
    content : bytes
        Record without its key.
    offset : Offset
        Offset of the record in the topic.
    """

    key: str
    content: bytes
    offset: Offset


class KeyedState(msgspec.Struct, frozen=True):
    """Newest record of every key of a topic, up to an offset.

    Parameters
    ----------
    records : tuple of KeyedRecord
        Records by rising offset.
    end_offset : Offset
        Offset up to which the records are complete, itself excluded.
    era : Era
        Era of the store in the answers with the records.
    """

    records: tuple[KeyedRecord, ...]
    end_offset: Offset
    era: Era


class NewestItem(msgspec.Struct, frozen=True, rename={'content': 'value'}):
    """Newest record of a key.

    Parameters
    ----------
    key : str
        The key.
    content : bytes
        Record without its key, in base64 on the wire.
    offset : int
        Offset of the record in the topic.
    """

    key: str
    content: bytes
    offset: _Offset


class NewestPage(
    msgspec.Struct,
    frozen=True,
    rename={'has_more': 'more', 'end_offset': 'end'},
):
    """Page of newest records.

    Parameters
    ----------
    items : list of NewestItem
        Records by rising key.
    has_more : bool
        Whether further keys follow.
    end_offset : int
        Offset of the next record to be appended, when the page was read.
    """

    items: list[NewestItem]
    has_more: bool
    end_offset: _Offset

    @property
    def last_key(self) -> str:
        """Last key of the page, empty when the page is empty."""
        return self.items[-1].key if self.items else ''


def read_newest_page(
    status: int, body: bytes, after: str
) -> Result[NewestPage, LogError]:
    """Return the page of newest records in an answer of the store.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    body : bytes
        Body of the answer.
    after : str
        Key after which the page begins, empty for the first one.
    """
    if status != _OK:
        return make_failure(
            LogFailure.UNAVAILABLE, f'the store answered with status {status}'
        )
    try:
        page = msgspec.json.decode(body, type=NewestPage)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return make_failure(
            LogFailure.UNAVAILABLE, f'malformed answer of the store: {error}'
        )
    if page.has_more and page.last_key in {'', after}:
        # The pages that follow would never end.
        return make_failure(
            LogFailure.UNAVAILABLE, 'the store repeats a page of records'
        )
    return Success(page)


def merge_pages(pages: list[NewestPage], era: Era) -> KeyedState:
    """Return the state of a topic as of the end offset of the first page.

    Parameters
    ----------
    pages : list of NewestPage
        All pages of the topic, at least one.
    era : Era
        Era of the store in the answers with all these pages.
    """
    end_offset = Offset(pages[0].end_offset)
    newest_by_key = {item.key: item for page in pages for item in page.items}
    newest_records = [
        KeyedRecord(item.key, item.content, Offset(item.offset))
        for item in newest_by_key.values()
        if item.offset < end_offset
    ]
    newest_records.sort(key=lambda record: record.offset)
    return KeyedState(tuple(newest_records), end_offset, era)
