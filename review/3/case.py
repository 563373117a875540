"""An entry that got SIGTERM passes requests on for longer than it has time to answer them."""

import sys
import time
from pathlib import Path
from signal import SIGTERM

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from fleet import (  # noqa: E402
    BOUNDS, BROKEN, COULD_NOT_RUN, HELD, STAMP, TROUBLE, Connection, Fleet, Server, configuration,
    main, new_attempt, route, send,
)  # fmt: skip

# SYSTEM.md: `recon-clerk` has 2 slots; its requests have a deadline of 15,000 ms. The site file has
# a queue of 8 and 1,300 ms of work at most.
SLOTS, QUEUE, WORK_S, DEADLINE_MS = 2, 8, 1.2, 15000
REQUESTS = 8
# "a request that was sent no later than 3 s after the SIGTERM" may be cut; these are sent later.
SENT_AFTER_S = 3.15
EXCUSED_S = 3.0


def run(fleet: Fleet) -> int:
    fleet.start()
    server = Server(fleet, "recon", 101, fleet.zones[0], slots=SLOTS, queued=QUEUE, work_s=0.02)
    document = configuration(1, [route("r1", "/recon/", "recon", route_type="non_idempotent")])
    if fleet.put_configuration(document, 30) is None or not fleet.wait_until_served("/recon/1", 30):
        return COULD_NOT_RUN
    entry = fleet.entries[0]
    connections = [Connection((entry.address, fleet.ports["front"])) for _ in range(REQUESTS)]
    for connection in connections:
        if send(connection, "POST", "/recon/2", DEADLINE_MS).status != 200:
            return COULD_NOT_RUN
    server.work_s = WORK_S
    time.sleep(BOUNDS["stableWindowMs"] / 1000 + 0.5)
    fleet.record("the fleet is calm; the clients keep their connections")
    stopped_at = fleet.record.now()
    if TROUBLE:
        entry.signal(SIGTERM)
        fleet.run_thread(lambda: kill_after_grace(fleet, entry))
    time.sleep(max(0.0, stopped_at + SENT_AFTER_S - fleet.record.now()))
    results: list[tuple[str, float, float, int, str]] = []
    for connection in connections:
        fleet.run_thread(lambda c=connection: client(fleet, c, results))
        time.sleep(0.01)
    until = fleet.record.now() + DEADLINE_MS / 1000 + 1
    while len(results) < REQUESTS and fleet.record.now() < until:
        time.sleep(0.05)
    ran = {attempt for attempt, _ in fleet.runs}
    slack = BOUNDS["lossSlackMs"] / 1000
    lost = 0
    for attempt, sent_at, ended_at, status, note in sorted(results):
        # Passed on to the server, or ended later than `lossSlackMs` after it was sent.
        was_held = attempt in ran or ended_at > sent_at + slack
        is_lost = status == 0 and was_held and sent_at > stopped_at + EXCUSED_S
        lost += is_lost
        fleet.record(
            f"{attempt} sent {sent_at - stopped_at:.3f} s after the SIGTERM, ran: {attempt in ran}, "
            f"answered {status} at {ended_at - stopped_at:.3f} s {note}{': LOST' if is_lost else ''}"
        )
    print(f"{lost} of {len(results)} requests were read, held or passed on, and lost")
    if len(results) < REQUESTS:
        return COULD_NOT_RUN
    return BROKEN if lost else HELD


def kill_after_grace(fleet: Fleet, entry: object) -> None:
    code = entry.wait(BOUNDS["graceS"])  # type: ignore[attr-defined]
    fleet.record(f"{entry.name} ended with {code}")  # type: ignore[attr-defined]
    if code is None:
        entry.signal(9)  # type: ignore[attr-defined]


def client(fleet: Fleet, connection: Connection, results: list) -> None:
    attempt = new_attempt()
    sent_at = fleet.record(f"client sends {attempt}: POST /recon/3")
    answer = send(connection, "POST", "/recon/3", DEADLINE_MS, attempt=attempt)
    ended_at = fleet.record(
        f"client got for {attempt}: {answer.status} {answer.fields.get(STAMP.lower())}"
    )
    results.append((attempt, sent_at, ended_at, answer.status, answer.note))


main(run, FOLDER, zones=("wcape-ctn", "wcape-blv", "wcape-stb"), control=3, entries=2)
