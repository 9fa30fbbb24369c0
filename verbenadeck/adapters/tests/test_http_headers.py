"""Removal of hop-by-hop headers."""

from multidict import istr

from verbenadeck.adapters._http_headers import end_to_end_headers
from verbenadeck.utils import encode_msgpack


def test_forwarded_headers_are_plain_strings_for_the_codec() -> None:
    headers = end_to_end_headers([(istr('Accept'), istr('*/*'))])
    assert encode_msgpack(headers) == encode_msgpack((('Accept', '*/*'),))
    assert {type(part) for pair in headers for part in pair} == {str}
