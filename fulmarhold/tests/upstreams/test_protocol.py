"""What a response says about its connection, for responses that end in unusual ways."""

from __future__ import annotations

import pytest

from fulmarhold.errors import MalformedInput
from fulmarhold.upstreams.protocol import ResponseReader

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: 1\r\n\r\n"


# Guards against asking the parser after it has forgotten the fields of the response.
@pytest.mark.parametrize(
    ("data", "keep_open"),
    [
        (OK + b"Content-Length: 0\r\n\r\n", True),
        (OK + b"Content-Length: 0\r\nConnection: close\r\n\r\n", False),
        (b"HTTP/1.1 304 Not Modified\r\nConnection: close\r\n\r\n", False),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", False),
        (CHUNKED, True),
    ],
)
def test_a_response_without_a_body_says_whether_its_connection_stays_open(data, keep_open):
    reader = ResponseReader()
    reader.feed(data)
    assert reader.is_complete
    assert reader.take().keep_open is keep_open


# Guards against an error of the parser that is not one of malformed responses.
def test_an_upgrade_is_malformed():
    with pytest.raises(MalformedInput):
        ResponseReader().feed(
            b"HTTP/1.1 101 Switch\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\nabc"
        )


# Guards against a trailer that passes for a field of the next response.
def test_a_trailer_belongs_to_no_response():
    reader = ResponseReader()
    for data in (CHUNKED, OK + b"Content-Length: 0\r\n\r\n"):
        reader.feed(data)
        names = {name for name, _ in reader.take().headers}
        assert names in ({"Transfer-Encoding"}, {"Content-Length"})
