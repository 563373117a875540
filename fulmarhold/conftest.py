"""Shared fixtures, and the handling of the known failures in KNOWN-RED.txt."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import pytest

from fulmarhold.fleet.fleet import Fleet, FleetPlan
from fulmarhold.questionnaire.schema import Questionnaire
from fulmarhold.settings.loading import load_document

if TYPE_CHECKING:
    from collections.abc import Callable, Generator, Iterator

KNOWN_RED_FILE = Path(__file__).parents[1] / "KNOWN-RED.txt"
TEST_PREFIX = "test:"
# Lines shown of each log of a failed test's processes.
LOG_TAIL_LINES = 60


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark tests listed in KNOWN-RED.txt as expected failures: reported, but not fatal."""
    known_failures = parse_known_failures(KNOWN_RED_FILE.read_text(encoding="utf-8"))
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> Generator[None, Any, Any]:
    """Add the ends of its processes' logs to the report of a failed test.

    A failure that shows once can't be traced without them: later runs replace the folder.
    """
    report = yield
    folder = getattr(item, "funcargs", {}).get("tmp_path")
    if report.failed and folder is not None:
        report.sections += log_tails(folder)
    return report


def log_tails(folder: Path) -> list[tuple[str, str]]:
    """Return the name and the last lines of each log file in a folder and those below it."""
    files = [path for path in sorted(folder.rglob("*log")) if path.is_file()]
    return [
        (
            f"log {path.relative_to(folder)}",
            "\n".join(path.read_text(errors="replace").splitlines()[-LOG_TAIL_LINES:]),
        )
        for path in files
    ]


def parse_known_failures(text: str) -> set[str]:
    """Return the node IDs of the tests in a list of known failures.

    >>> parse_known_failures("test: a/test_b.py::test_c\\nseed: 7\\nseen: too late")
    {'a/test_b.py::test_c'}
    """
    lines = text.splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip() for line in lines if line.startswith(TEST_PREFIX)
    }


def small_questionnaire(**changes: Any) -> Questionnaire:
    """Return a questionnaire for one small service, so that a fleet starts quickly."""
    service = {
        "name": "lookup",
        "shards": 4,
        "servers": 8,
        "slots": 4,
        "connections": 40,
        "connection_cost_ms": 1,
        "priority": "coverage",
        "urgency": "urgent",
        "deadline_ms": 400,
        "least_coverage": 0.5,
        "requests": [
            {"name": "search", "idempotent": True},
            {"name": "redeem", "idempotent": False},
        ],
    }
    document = {
        "deployment": "test",
        "data_centres": ["a", "b", "c"],
        "distances": {"between_data_centres_ms": 1, "from_callers_ms": 1},
        "entries": 3,
        "control_instances": 3,
        "services": [service],
    }
    return load_document({**document, **changes}, Questionnaire, "test questionnaire")


@pytest.fixture
def make_fleet(tmp_path: Path) -> Iterator[Callable[..., Fleet]]:
    """Return a factory of fleets, which are killed at the end of the test."""
    fleets: list[Fleet] = []

    def make(*, plan: dict[str, Any] | None = None, **changes: Any) -> Fleet:
        options: dict[str, Any] = {"standin_processes": 1, **(plan or {})}
        fleet = Fleet(tmp_path / "fleet", FleetPlan(small_questionnaire(**changes), **options))
        fleets.append(fleet)
        return fleet

    yield make
    for fleet in fleets:
        fleet.kill()


@pytest.fixture
def fleet(make_fleet: Callable[..., Fleet]) -> Fleet:
    """Return a small fleet that is started and ready."""
    fleet = make_fleet()
    fleet.start()
    return fleet
