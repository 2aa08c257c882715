"""Plain servers leave as planned, one after the other, and say so in their answers. Counts the requests that
reach one later than the drain time after the store has accepted its report.

Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from review_site import DESK, Caller, Server, Site, summary_headers, run  # noqa: E402

DRAIN_S = 2.0
# The server goes on for the drain time "and a little longer".
EXIT_S = 3.0
# Shortly before the exit, so that a request that still runs then is lost.
QUIET_UNTIL_S = 2.98
WORK_MS = 30
DESKS = 8
BUSY_CALLERS = 12
WARM_UP_S = 4
DEPARTURES = 5
PAUSE_S = 1.5


def departure(site, quiet, server, says_so):
    """A server leaves. Returns the requests that were sent too late and reached it, with their answers."""
    results = []
    server.leave(says_so)
    left = time.monotonic()
    site.record.write(f"leaving  {server.name} has reported that it drains; it says so in answers: {says_so}")
    time.sleep(QUIET_UNTIL_S)

    def late_transfer():
        sent = time.monotonic()
        request, how, _ = Caller(site.record, quiet).request("POST", "/transfer/x", body=b"tag")
        results.append((request, how, sent))

    threads = [threading.Thread(target=late_transfer) for _ in range(4)]
    for thread in threads:
        thread.start()
    time.sleep(EXIT_S - QUIET_UNTIL_S)
    site.record.write(f"leaving  {server.name} exits")
    server.exit()
    for thread in threads:
        thread.join()
    return [(request, how) for request, how, sent in results if request in server.runs and sent > left + DRAIN_S]


def main():
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # Not part of the case: shows the cause. With SAYS=0 the servers leave in the same way and do not say so.
    says_so = os.environ.get("SAYS", "1") != "0"
    late, all_before = [], []
    with Site(FOLDER, instances=3, engines=18, desks=DESKS, work_ms=WORK_MS) as site:
        if not site.wait_ready():
            return 2
        time.sleep(1)
        placer_name = site.store.objects[("placers", "cell-0")]["spec"]["instance"]
        placer = next(it for it in site.instances if it.name == placer_name)
        # A machine with little traffic, and the plain server of its zone.
        quiet = next(it for it in site.instances if it is not placer)
        server = next(it for it in site.desks if it.zone == quiet.values["zone"])
        is_over = threading.Event()

        def transfers():
            caller = Caller(site.record, placer)
            while not is_over.is_set():
                caller.request("POST", "/transfer/x", body=b"tag")
            caller.close()

        def summaries(instance):
            while not is_over.is_set():
                caller = Caller(site.record, instance)
                adapter = f"a{random.randint(1, 3000)}"
                caller.request("POST", "/summary/x", summary_headers(adapter, 800), b"text")
                caller.close()
                time.sleep(0.1)

        threads = [threading.Thread(target=transfers) for _ in range(BUSY_CALLERS)]
        threads += [threading.Thread(target=summaries, args=(placer,)) for _ in range(12)]
        for thread in threads:
            thread.start()
        time.sleep(WARM_UP_S)
        for number in range(DEPARTURES):
            answered_before = Caller(site.record, quiet).request("POST", "/transfer/x", body=b"tag")[1]
            all_before.append(answered_before)
            if not has_trouble:
                time.sleep(EXIT_S)
                continue
            late += departure(site, quiet, server, says_so)
            # The next one has come in its place before another one leaves.
            server = Server(site.store, site.record, f"desk-new-{number}", DESK, server.zone, work_ms=WORK_MS)
            time.sleep(PAUSE_S)
        is_over.set()
        for thread in threads:
            thread.join()
        verdict = (f"{DEPARTURES if has_trouble else 0} departures, before each: {all_before}; requests sent {QUIET_UNTIL_S} s after the report that "
                   f"reached the leaving server, and their answers: {late}")
        site.record.write(f"verdict  {verdict}")
        print(verdict)
        if any(status != "200" for status in all_before):
            return 2
        return 1 if late else 0


if __name__ == "__main__":
    run(main)
