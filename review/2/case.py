"""The store is away for some seconds, and the servers' entries lapse meanwhile. Counts how often requests on
routes that are added later are served, beside those on the first routes.

Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from review_site import DESK, HOST, Caller, Site, configuration, run  # noqa: E402

INSTANCES = 7
AWAY_S = 4.5
# `contactMs` after the store's return, and `configApplyMs`.
CONTACT_S, APPLY_S = 3.0, 2.0
FIRST_S = 20
ADDED_S = 6
PERIOD_S = 0.1


def main():
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    results, lock = [], threading.Lock()
    with Site(FOLDER, instances=INSTANCES, engines=3, desks=4, work_ms=30) as site:
        if not site.wait_ready():
            return 2
        time.sleep(1)
        is_over = threading.Event()
        paths = ["/transfer/x"]

        def call(instance):
            callers = {}
            while not is_over.is_set():
                for path in paths:
                    caller = callers.setdefault(path, Caller(site.record, instance))
                    result = caller.request("POST", path, body=b"tag", limit_s=2.5)
                    with lock:
                        results.append((path, result[1], instance.name))
                time.sleep(PERIOD_S)

        threads = [threading.Thread(target=call, args=(it,)) for it in site.instances]
        for thread in threads:
            thread.start()
        time.sleep(FIRST_S)
        servers = [it.name for it in site.engines + site.desks]
        if has_trouble:
            site.record.write("trouble  the store is away")
            site.store.go_away()
        time.sleep(AWAY_S)
        if has_trouble:
            site.record.write("trouble  the store is back; the entries of the servers have lapsed")
            site.store.come_back(lapsed=servers)
        time.sleep(CONTACT_S)
        # Planned work: a version adds a route.
        added = {"name": "added", "host": HOST, "pathPrefix": "/added/", "routeKind": "non_idempotent", "service": DESK,
                 "timeoutMs": 1200, "targetLatencyMs": 150, "priority": 1, "maxAttempts": 1, "public": False,
                 "resumable": False}
        site.store.write("config", "main", configuration(2, [added]))
        time.sleep(APPLY_S + 0.5)
        is_registered = all(("servers", name) in site.store.objects for name in servers)
        paths.append("/added/x")
        time.sleep(ADDED_S)
        is_over.set()
        for thread in threads:
            thread.join()

        def share(path):
            of_path = [how for on, how, _ in results if on == path]
            return sum(how == "200" for how in of_path), len(of_path)

        first, of_first = share("/transfer/x")
        later, of_later = share("/added/x")
        refusing = {name for on, how, name in results if on == "/added/x" and how == "503"}
        verdict = (f"added route: {later} of {of_later} served; first route: {first} of {of_first}; refusing with 503: "
                   f"{sorted(refusing)}; all servers registered and live: {is_registered}")
        site.record.write(f"verdict  {verdict}")
        print(verdict)
        if of_later < 20 or not first or not is_registered:
            return 2
        return 1 if later / of_later < 0.25 * first / of_first else 0


if __name__ == "__main__":
    run(main)
