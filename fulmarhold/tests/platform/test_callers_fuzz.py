"""Fuzz test: requests with arbitrary header values must not break decoding or encoding."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarhold.platform import headers as names
from fulmarhold.platform.headers import PlatformCodec, read_request
from fulmarhold.web.front import RawRequest

CASES = 1_000
text = st.text(st.characters(min_codepoint=33, max_codepoint=255), max_size=20)
numbers = st.integers(-(10**6), 10**30).map(str) | st.sampled_from(["²", "1e9", "inf", "nan", "-0"])


@settings(max_examples=CASES, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from([names.TIME_LEFT, names.REQUEST_ID, names.TARGET, "Host", "Connection"]),
        text | numbers,
    ),
    st.binary(max_size=50),
)
def test_a_request_with_arbitrary_headers_can_be_forwarded(headers, body):
    fields = tuple(headers.items())
    request = read_request(RawRequest("GET", "/a", fields, body, 5.0, True, 6.0))
    assert request.deadline_at >= request.received_at
    codec = PlatformCodec()
    assert codec.encode(codec.prepare(request), "upstream", 10.0).endswith(body)
