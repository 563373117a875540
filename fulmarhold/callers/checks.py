"""Judges answers against the promises; used by the demo, the bench and failure tests."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator


def find_violations(service: str, document: dict[str, Any]) -> Iterator[str]:
    """Yield a sentence for each promise that an answer of a stand-in service breaks.

    A stand-in's part names the service, layout, version and shard that it really held.
    """
    if document.get("outcome") != "answered":
        return
    coverage = document["coverage"]
    missing = {item["shard"] for item in coverage["missing"]}
    shards = [part["shard"] for part in document["parts"]]
    snapshot = document["snapshot"]
    if len(set(shards)) != len(shards):
        yield "a shard is answered twice"
    if coverage["covered"] != len(shards):
        yield f"coverage says {coverage['covered']}, but there are {len(shards)} parts"
    if coverage["total"] > 1 and missing | set(shards) != set(range(coverage["total"])):
        yield "parts and missing shards together are not the whole layout"
    if missing & set(shards):
        yield "a shard is both answered and missing"
    for part in document["parts"]:
        held = json.loads(part["body"])["held"]
        expected = f"{service}/{snapshot['layout']}/{snapshot['version']}/{part['shard']}"
        if held != expected:
            yield f"part {part['shard']} holds {held}, not {expected}"


def find_duplicate_effects(effects: dict[str, int]) -> Iterator[str]:
    """Yield a sentence for each idempotency key that took effect more than once."""
    for key, count in effects.items():
        if count > 1:
            yield f"key {key} took effect {count} times"
