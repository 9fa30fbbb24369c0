"""Answers whose status is no final status, by their form."""

from types import MappingProxyType

INVALID_STATUSES = (0, 1, 99, 101, 600, 999)
"""Numbers of three digits that are no final status of an answer to a request
without an upgrade."""

_STATUS_LINES = MappingProxyType(
    {
        **{
            f'status {status:03}': f'HTTP/1.1 {status:03} OK'
            for status in INVALID_STATUSES
        },
        'status 100 with a body': 'HTTP/1.1 100 Continue',
        'status 102 with a body': 'HTTP/1.1 102 Processing',
        'status 199 with a body': 'HTTP/1.1 199 OK',
        'two digits': 'HTTP/1.1 20 OK',
        'four digits': 'HTTP/1.1 2000 OK',
        'letters': 'HTTP/1.1 abc OK',
        'a digit and letters': 'HTTP/1.1 2xx OK',
        'plus sign': 'HTTP/1.1 +20 OK',
        'minus sign': 'HTTP/1.1 -20 OK',
        'no status': 'HTTP/1.1',
        'empty status': 'HTTP/1.1 ',
    }
)

_CUT_ANSWERS = MappingProxyType(
    {
        'cut in the version': b'HTTP/1.',
        'cut before the status': b'HTTP/1.1 ',
        'cut in the status': b'HTTP/1.1 20',
        'cut after the status': b'HTTP/1.1 200',
        'interim head only': b'HTTP/1.1 102 Processing\r\n\r\n',
    }
)


def make_invalid_answers(fields: str) -> dict[str, bytes]:
    """Return answers without a valid final status, by their form.

    Connections stay open after those that end with ``KEEP``.

    Parameters
    ----------
    fields : str
        Header fields of the answers, each with its line end.
    """
    rest = f'{fields}Content-Length: 4\r\n\r\nKEEP'
    complete = {
        form: f'{status_line}\r\n{rest}'.encode()
        for form, status_line in _STATUS_LINES.items()
    }
    answer = make_answer(200, fields)
    followed = {
        f'{form} before an answer': complete[form].removesuffix(b'KEEP')
        + b'body'
        + answer
        for form in ('status 000', 'status 101', 'status 199 with a body')
    }
    return complete | followed | _CUT_ANSWERS


def make_answer(status: int, fields: str) -> bytes:
    """Return an answer after which the connection stays open.

    Parameters
    ----------
    status : int
        Status of the answer.
    fields : str
        Header fields, each with its line end.
    """
    head = f'HTTP/1.1 {status:03} OK\r\n{fields}Content-Length: 4\r\n\r\n'
    return f'{head}KEEP'.encode()
