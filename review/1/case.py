"""A heartbeat of another writer, with an address of another kind, ends the entry processes."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from fleet import (  # noqa: E402
    BROKEN, COULD_NOT_RUN, HEARTBEAT_S, HELD, TROUBLE, Connection, Fleet, Server, configuration,
    main, route, send, send_heartbeat,
)  # fmt: skip

# The address is an IPv6 one with the name of an interface, where IPv4 and a port belong.
BEAT = (
    b'{"service":"recon","address":"::1%%lo:9","zone":"wcape-ctn","version":"v1","slots":2,'
    b'"state":"ready","warmupLeftMs":0,"sequence":%d,"born":1700000000000}'
)
WRITER_S = 30.0
# RULES.md, Fault: "on a tenth of the machines in use (two at least) [...] processes end by
# themselves three times in the day".
ENDS, MACHINES = 3, 2


def run(fleet: Fleet) -> int:
    fleet.start()
    for number in range(3):
        Server(fleet, "recon", 101 + number, fleet.zones[number])
    first = configuration(1, [route("r1", "/recon/", "recon")])
    if fleet.put_configuration(first, 30) is None or not fleet.wait_until_served("/recon/1", 30):
        return COULD_NOT_RUN
    time.sleep(4.5)
    fleet.record("the fleet is calm")
    counts: dict[str, int] = {}
    for entry in fleet.entries:
        fleet.run_thread(lambda entry=entry: client(fleet, entry, counts))
    until = fleet.record.now() + WRITER_S
    endpoint, sequence = None, 0
    while fleet.record.now() < until:
        if TROUBLE:
            sequence += 1
            endpoint = send_heartbeat(fleet, "i-meter", BEAT % sequence, endpoint)
            fleet.record(f"another writer: heartbeat {sequence} taken by {endpoint}")
        time.sleep(HEARTBEAT_S)
    ended = {item.name: len(item.ends) for item in fleet.entries}
    fleet.record(f"ends of entry processes by themselves: {ended}; answers {counts}")
    print("entry processes ended by themselves:", ended, "answers:", counts)
    return BROKEN if sum(count >= ENDS for count in ended.values()) >= MACHINES else HELD


_lock = threading.Lock()


def client(fleet: Fleet, entry: object, counts: dict[str, int]) -> None:
    while not fleet.is_stopping:
        connection = Connection((entry.address, fleet.ports["front"]))  # type: ignore[attr-defined]
        answer = send(connection, "GET", "/recon/2", 3000)
        connection.close()
        with _lock:
            key = str(answer.status) if answer.status else "connection lost or refused"
            counts[key] = counts.get(key, 0) + 1
        fleet.record(f"client at {entry.name}: {answer.status} {answer.note}")  # type: ignore[attr-defined]
        time.sleep(0.25)


main(run, FOLDER, zones=("wcape-ctn", "wcape-blv", "wcape-stb"), control=3, entries=3)
