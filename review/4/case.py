"""A release replaces the servers of a service by ones of another software version, and all processes of the
system are killed while the last old servers finish their streams. Counts the streams that go on at the other
version.

Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

from review_site import Site, StreamCaller  # noqa: E402

STREAMS = 8
START_GAP_S = 0.3
# 36 events of 250 ms: 9 s, less than the deadline of 12 s; a pause of 400 ms is still on time.
EVENTS, EVENT_MS = 36, 250
RELEASE_GAP_S = 1.0
DRAIN_S = 2.0
RETRY_AFTER_S, RETRY_GAP_S = 2.0, 0.3
# "More than two streams"
ALLOWED = 2


def main():
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with Site(FOLDER, instances=3, engines=2, desks=1) as site:
        for engine in site.engines:
            engine.events, engine.event_ms = EVENTS, EVENT_MS
        if not site.wait_ready():
            return 2
        time.sleep(2)
        callers = [StreamCaller(site.record, site.instances, number, RETRY_AFTER_S + number * RETRY_GAP_S)
                   for number in range(STREAMS)]
        threads = [threading.Thread(target=caller.run) for caller in callers]
        for thread in threads:
            thread.start()
            time.sleep(START_GAP_S)
        # The release: each new server starts before the old one leaves. The old servers never report that
        # they drain: their entry is removed, and they go on serving for the drain time and some seconds.
        old = list(site.engines)
        for number, engine in enumerate(old):
            new = site.add_engine(f"engine-new-{number}", "v2")
            new.events, new.event_ms = EVENTS, EVENT_MS
            time.sleep(RELEASE_GAP_S / 2)
            site.record.write(f"release  the entry of {engine.name} is removed")
            engine.remove_entry()
            time.sleep(RELEASE_GAP_S / 2)
        time.sleep(DRAIN_S / 2)
        if has_trouble:
            site.record.write("trouble  all processes are killed")
            for instance in site.instances:
                instance.kill()
        for thread in threads:
            thread.join()
        mixed = [caller for caller in callers if len({version for _, version in caller.pieces}) > 1]
        begun = sum(bool(caller.pieces) for caller in callers)
        verdict = (f"{begun} of {len(callers)} streams began; {len(mixed)} hold events of two software versions; "
                   f"tries: {[caller.tries for caller in callers]}")
        site.record.write(f"verdict  {verdict}")
        print(verdict)
        if begun < ALLOWED + 1:
            return 2
        return 1 if len(mixed) > ALLOWED else 0


if __name__ == "__main__":
    sys.exit(main())
