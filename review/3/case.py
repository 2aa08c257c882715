"""One answer of an engine never ends. Counts the requests to sound servers that are lost.

Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from review_site import Caller, Closed, Site, send, summary_headers, run  # noqa: E402

# The link of a machine carries 1,000 Mbit/s, that is 125 MB/s; the server sends at less than that.
ENDLESS_MB_PER_S = 100
# Callers abandon a stream without an event after four times the target latency.
SUMMARY_LIMIT_S = 4.0
CALLERS_PER_INSTANCE = 6
WORK_MS = 30
RUN_S = 20
TROUBLE_AT_S = 5
# "more than three times"
ALLOWED = 3


def send_without_end(sock, request, record):
    """Answers with the head of a stream, and then with bytes that are no events until the caller closes."""
    head = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
            f"X-Attempt-Id: {request}\r\nX-Server-Seal: seal-engine\r\n\r\n")
    record.write(f"trouble  the answer to {request} does not end")
    block = b"x" * 100_000
    sent, started = 0, time.monotonic()
    try:
        send(sock, head.encode())
        while True:
            ahead_s = sent / (ENDLESS_MB_PER_S * 1e6) - (time.monotonic() - started)
            if ahead_s > 0:
                time.sleep(ahead_s)
            send(sock, block)
            sent += len(block)
    except Closed:
        record.write(f"trouble  the caller of the endless answer has closed after {sent / 1e6:.0f} MB")
    return True


def main():
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    results, lock = [], threading.Lock()
    with Site(FOLDER, work_ms=WORK_MS) as site:
        if not site.wait_ready():
            return 2
        end = time.monotonic() + RUN_S
        trouble_at = time.monotonic() + TROUBLE_AT_S
        spoiled = threading.Lock()

        def spoil_one(sock, request, _headers):
            # One answer of one engine is spoiled, all others are sound.
            if time.monotonic() < trouble_at or not spoiled.acquire(blocking=False):
                return False
            return send_without_end(sock, request, site.record)

        if has_trouble:
            site.engines[0].trouble = spoil_one

        def transfer(instance):
            caller = Caller(site.record, instance)
            while time.monotonic() < end:
                result = caller.request("POST", "/transfer/x", body=b"tag")
                with lock:
                    results.append(result)
                if result[1] in ("refused", "closed"):
                    time.sleep(0.1)
            caller.close()

        def summary(instance, number):
            while time.monotonic() < end:
                caller = Caller(site.record, instance)
                caller.request("POST", "/summary/x", summary_headers(f"a{number % 9 + 1}"), b"text", SUMMARY_LIMIT_S)
                caller.close()
                time.sleep(0.2)

        threads = [threading.Thread(target=transfer, args=(it,)) for it in site.instances
                   for _ in range(CALLERS_PER_INSTANCE)]
        threads += [threading.Thread(target=summary, args=(it, n)) for n, it in enumerate(site.instances * 2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        ran = {}
        for desk in site.desks:
            ran.update(desk.runs)
        lost = [request for request, how, is_kept in results if how == "closed" and is_kept and request in ran]
        served = sum(how == "200" for _, how, _ in results)
        killed = sum(instance.over_memory for instance in site.instances)
        peak_mb = max(instance.peak_mb for instance in site.instances)
        verdict = (f"{served} of {len(results)} transfers answered; {len(lost)} lost on kept connections though a "
                   f"sound server ran them; {killed} processes over their memory; peak {peak_mb:.0f} MB")
        site.record.write(f"verdict  {verdict}")
        print(verdict)
        if served == 0 or (has_trouble and spoiled.acquire(blocking=False)):
            return 2
        return 1 if len(lost) > ALLOWED else 0


if __name__ == "__main__":
    run(main)
