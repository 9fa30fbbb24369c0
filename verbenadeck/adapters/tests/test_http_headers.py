from multidict import istr

from verbenadeck.adapters._http_headers import end_to_end
from verbenadeck.utils import pack


def test_relayed_headers_can_be_encoded() -> None:
    headers = end_to_end([(istr('Accept'), istr('*/*'))])
    assert pack(headers) == pack((('Accept', '*/*'),))
    assert {type(part) for pair in headers for part in pair} == {str}
