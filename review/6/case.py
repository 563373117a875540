"""A server fails a part of its requests with 503 after it ran them; what are clients told?"""

import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import standins as s  # noqa: E402

SERVERS, GREY = 7, 1  # 1 of 7 is a share of 0.14
FAILED_SHARE = 0.45
GREY_S = 6.5
CLIENTS = 8
# Statuses that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)


def run(record, trouble):
    fleet = s.Fleet(record)
    try:
        fleet.start()
        grey = threading.Event()

        def answer(server, request):
            time.sleep(0.03)
            if server is fleet.servers[0] and grey.is_set() and random.random() < FAILED_SHARE:
                return server.encode_answer(request, "503 Service Unavailable", b"lost my store")
            return server.encode_answer(request, "200 OK", b"booked")

        for _ in range(SERVERS):
            fleet.add_server("orders", slots=2, answer=answer)
        fleet.put([s.route("orders", "/order/", "orders", kind="non_idempotent")])
        fleet.wait_ready()
        time.sleep(2.0)
        answered = {}
        stop = threading.Event()

        def client(number):
            connection = s.Client(fleet, fleet.entries[number % len(fleet.entries)])
            while not stop.is_set():
                request_id, status, answer = connection.send("POST", "/order/1", body=b"one beam")
                answered[request_id] = (status, answer.header(s.STAMP) if answer else "")
                time.sleep(random.uniform(0.0, 0.02))

        threads = [threading.Thread(target=client, args=(n,), daemon=True) for n in range(CLIENTS)]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        if trouble:
            record(f"platform: {fleet.servers[0].id} fails {FAILED_SHARE} of its requests")
            grey.set()
        time.sleep(GREY_S)
        grey.clear()
        stop.set()
        for thread in threads:
            thread.join(6.0)
        time.sleep(0.5)
        runs = {request_id for server in fleet.servers for request_id, _ in server.runs}
        served = sum(1 for status, _ in answered.values() if status == 200)
        record(f"{len(answered)} requests answered, {served} with 200")
        if not served:
            raise s.CannotRun("nothing was served")
        return [
            f"REFUSED: request {request_id} was answered {status} (stamp {stamp or 'none'}) and ran"
            for request_id, (status, stamp) in answered.items()
            if status in PROMISES and request_id in runs
        ]
    finally:
        fleet.stop()


s.main(run)
