"""Each odd heartbeat has one odd value in a document that is valid otherwise."""

from __future__ import annotations

from fulmarhold.platform.documents import decode_heartbeat
from fulmarhold.soak.odd_writer import ODD, USUAL, write_odd_heartbeat


def test_heartbeat_with_the_usual_value_of_each_field_is_valid():
    assert set(ODD) == set(USUAL)
    for field, value in USUAL.items():
        statement = decode_heartbeat("i", write_odd_heartbeat(field, value))
        assert statement.service == "s1" and statement.sequence == 1


def test_odd_heartbeat_differs_in_one_field():
    for field, values in ODD.items():
        for value in values:
            body = write_odd_heartbeat(field, value)
            assert body == write_odd_heartbeat(field, b"~~").replace(b"~~", value)
            assert value != USUAL[field]
