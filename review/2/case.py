"""A heartbeat of another writer, with bytes that are no UTF-8, ends the control processes."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from fleet import (  # noqa: E402
    BROKEN, COULD_NOT_RUN, HEARTBEAT_S, HELD, TROUBLE, Connection, Fleet, Server, configuration,
    main, route, send, send_heartbeat,
)  # fmt: skip

# The zone is a lone surrogate in the three bytes ED A0 80, which no UTF-8 text holds.
BEAT = (
    b'{"service":"meter","address":"127.0.0.1:9","zone":"\xed\xa0\x80","version":"v1","slots":2,'
    b'"state":"ready","warmupLeftMs":0,"sequence":%d,"born":1700000000000}'
)
WRITER_S = 30.0
# RULES.md, Fault: "on half of the core, processes end by themselves three times in the day".
ENDS = 3


def run(fleet: Fleet) -> int:
    fleet.start()
    for number in range(2):
        Server(fleet, "recon", 101 + number, fleet.zones[number])
    first = configuration(1, [route("r1", "/recon/", "recon")])
    if fleet.put_configuration(first, 30) is None or not fleet.wait_until_served("/recon/1", 30):
        return COULD_NOT_RUN
    time.sleep(4.5)
    fleet.record("the fleet is calm")
    fleet.run_thread(lambda: clients(fleet))
    until = fleet.record.now() + WRITER_S
    endpoint, sequence = None, 0
    while fleet.record.now() < until:
        if TROUBLE:
            sequence += 1
            endpoint = send_heartbeat(fleet, "i-meter", BEAT % sequence, endpoint)
            fleet.record(f"another writer: heartbeat {sequence} taken by {endpoint}")
        time.sleep(HEARTBEAT_S)
    acknowledged = fleet.put_configuration(
        configuration(2, [route("r1", "/recon/", "recon"), route("r2", "/new/", "recon")]), 6
    )
    fleet.record(f"version 2 acknowledged at {acknowledged}")
    ended = {item.name: len(item.ends) for item in fleet.control}
    fleet.record(f"ends of control processes by themselves: {ended}")
    print("control processes ended by themselves:", ended)
    often = sum(count >= ENDS for count in ended.values())
    return BROKEN if 2 * often >= len(fleet.control) else HELD


def clients(fleet: Fleet) -> None:
    while not fleet.is_stopping:
        for entry in fleet.entries:
            connection = Connection((entry.address, fleet.ports["front"]))
            answer = send(connection, "GET", "/recon/2", 3000)
            connection.close()
            fleet.record(f"client at {entry.name}: {answer.status} {answer.note}")
        time.sleep(0.5)


main(run, FOLDER, zones=("wcape-ctn", "wcape-blv", "wcape-stb"), control=3, entries=2)
