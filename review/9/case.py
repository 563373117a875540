"""One heartbeat of another writer: a live server's id, and a service that isn't named anywhere."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import standins as s  # noqa: E402

REQUESTS = 40


def run(record, trouble):
    fleet = s.Fleet(record, control=3, entries=2)
    try:
        fleet.start()
        for _ in range(5):
            fleet.add_server("first")
        fleet.put([s.route("first", "/first/", "first")])
        fleet.wait_ready()
        # The second route comes later, and its service has one server.
        server = fleet.add_server("later")
        fleet.put([s.route("first", "/first/", "first"), s.route("later", "/later/", "later")])
        time.sleep(6.0)
        before = served(fleet, "/later/")
        if before < REQUESTS // 2:
            raise s.CannotRun(f"not calm: {before} served")
        if trouble:
            odd = {
                "service": "nowhere", "address": f"{server.address}:{s.SERVER_PORT}",
                "zone": server.zone, "version": "v0", "slots": 4, "state": "ready",
                "warmupLeftMs": 0, "sequence": 1, "born": int(time.time() * 1000),
            }  # fmt: skip
            path = f"/api/instances/{server.id}"
            status, _ = s.call(fleet.control[0].address, s.CONTROL, "PUT", path, odd)
            record(f"another writer: one heartbeat for {server.id}, service nowhere: {status}")
        acknowledged = server.acknowledged
        time.sleep(fleet.bounds["stableWindowMs"] / 1000 + 2.0)
        first, later = served(fleet, "/first/"), served(fleet, "/later/")
        time.sleep(20.0)
        first += served(fleet, "/first/")
        later += served(fleet, "/later/")
        acknowledged = server.acknowledged - acknowledged
        record(
            f"{acknowledged} heartbeats of {server.id} acknowledged since; served {first} and "
            f"{later} of {2 * REQUESTS} requests on the first route and on the later one"
        )
        if first < REQUESTS:
            raise s.CannotRun("the first route isn't served")
        if later >= first / 4:
            return []
        return [
            f"CONFIG: of {2 * REQUESTS} requests each, {first} were served on the first route and "
            f"{later} on the one added later, whose server was ready all the while, with "
            f"{acknowledged} heartbeats acknowledged"
        ]
    finally:
        fleet.stop()


def served(fleet, path):
    """Send requests to all entries in turn; returns how many are answered with 200."""
    count = 0
    for number in range(REQUESTS):
        client = s.Client(fleet, fleet.entries[number % len(fleet.entries)])
        count += client.send("GET", f"{path}{number}")[1] == 200
        client.close()
        time.sleep(0.02)
    return count


s.main(run)
