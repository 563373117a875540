"""The error of a caller when no entry answers."""

from __future__ import annotations

from random import Random

import pytest

from fulmarhold.callers.caller import Caller
from fulmarhold.errors import PeerUnavailable
from fulmarhold.fleet.ports import PortAllocator


def test_an_error_names_step_and_peers_when_no_entry_answers():
    seeds = [PortAllocator().allocate_endpoint() for _ in range(2)]
    with pytest.raises(PeerUnavailable, match="no entry") as caught:
        Caller(seeds, "a", Random(1)).send("s", "t", deadline=100.0)
    assert caught.value.step == "finding an entry"
    assert caught.value.peer == ", ".join(seeds)
