"""A caller that finds no entry."""

from __future__ import annotations

from random import Random

import pytest

from fulmarhold.callers.caller import Caller
from fulmarhold.errors import PeerUnavailable
from fulmarhold.fleet.ports import PortAllocator


def test_a_caller_that_no_entry_answers_says_so_with_step_and_peers():
    seeds = [PortAllocator().allocate_endpoint() for _ in range(2)]
    with pytest.raises(PeerUnavailable, match="no entry") as caught:
        Caller(seeds, "a", Random(1)).send("s", "t", deadline=100.0)
    assert caught.value.step == "finding an entry"
    assert caught.value.peer == ", ".join(seeds)
