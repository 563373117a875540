"""The last call of a server is held up by a cut, and arrives after the server has started again."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import standins as s  # noqa: E402

CUT_S = 5.5
LATE_S = 2.0
RESTART_S = 0.5
REQUESTS = 40


def run(record, trouble):
    # One control machine in the second zone, two in the first.
    fleet = s.Fleet(record, control=3, entries=2)
    near = fleet.control[1]
    try:
        fleet.start()
        # One of six servers, a share of 0.17, is cut off.
        for _ in range(5):
            fleet.add_server("first")
        fleet.put([s.route("first", "/first/", "first")])
        fleet.wait_ready()
        # The second route comes later, and its service has one server, in the second zone.
        server = fleet.add_server("later", zone=near.zone)
        fleet.put([s.route("first", "/first/", "first"), s.route("later", "/later/", "later")])
        time.sleep(6.0)
        before = served(fleet, record, "/later/")
        if before < REQUESTS // 2 or server.beat_at != near.address:
            raise s.CannotRun(f"not calm: {before} served, heartbeats to {server.beat_at}")

        record(f"server {server.id}: planned restart")
        server.state = "draining"
        if not server.beat():
            raise s.CannotRun("draining was not acknowledged")
        time.sleep(fleet.bounds["drainMs"] / 1000 + 0.2)
        # The server's last call is under way when the server is cut off.
        cut_at = time.monotonic()
        server.mute()
        if not trouble:
            server.leave()
        else:
            record(f"platform: {server.id} is cut off; its DELETE to {near.name} is held up")
        time.sleep(1.5)
        server.stop()
        time.sleep(RESTART_S)
        again = fleet.add_server("later", zone=near.zone, like=server, muted=trouble)
        if trouble:
            time.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
            record(f"platform: the cut ends; the new start of {again.id} can be heard")
            again.unmute()
            time.sleep(LATE_S)
            status, _ = s.call(near.address, s.CONTROL, "DELETE", f"/api/instances/{server.id}")
            record(f"network: the DELETE that was held up arrives at {near.name}: {status}")
        # In steady state again: stableWindowMs after the cut, and some heartbeats more.
        time.sleep(fleet.bounds["stableWindowMs"] / 1000 + 4.0)
        acknowledged = again.acknowledged
        first, later = served(fleet, record, "/first/"), served(fleet, record, "/later/")
        time.sleep(8.0)
        first += served(fleet, record, "/first/")
        later += served(fleet, record, "/later/")
        record(
            f"{acknowledged} ready heartbeats acknowledged; served {first} and {later} of "
            f"{2 * REQUESTS} requests on the first route and on the later one"
        )
        if first < REQUESTS:
            raise s.CannotRun("the first route isn't served")
        if later >= first / 4:
            return []
        return [
            f"CONFIG: of {2 * REQUESTS} requests each, {first} were served on the first route and "
            f"{later} on the one added later, whose server has been ready, with {acknowledged} "
            "heartbeats acknowledged, since its restart"
        ]
    finally:
        fleet.stop()


def served(fleet, record, path):
    """Send requests to all entries in turn; returns how many are answered with 200."""
    count = 0
    for number in range(REQUESTS):
        client = s.Client(fleet, fleet.entries[number % len(fleet.entries)])
        count += client.send("GET", f"{path}{number}")[1] == 200
        client.close()
        time.sleep(0.02)
    return count


s.main(run)
