"""Clients send large bodies, within the limit of the configuration, while many come at once."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import site_3  # noqa: E402

# Each body is half of maxBodyBytes.
BODY = bytes(2 * 1024 * 1024)
WORK_S = 5.0
UPLOADS_PER_S = 12.0
BURST_X = 2.4
BURST_S = 4.5
BURST_AT_S = 9.0
LENGTH_S = 22.0


async def play(trouble, record):
    running = {}
    lost = []
    ends = []
    peak = {"mb": 0.0}
    outcomes = {}

    async def run(server, request, writer):
        id = request.header("x-attempt-id")
        if request.method == "GET":
            writer.write(site_3.answer_bytes(200, server.seal(request), b"look"))
            return True
        record(f"server {server.id} runs {id} with {len(request.body)} bytes")
        running[id] = server.id
        del request.body
        await asyncio.sleep(WORK_S)
        writer.write(site_3.answer_bytes(200, server.seal(request), b"stored"))
        return True

    site = site_3.Site("13", run)

    async def upload(machine):
        """Sends a small request and then a large one on the same connection."""
        reader = writer = None
        id = site.new_id()
        try:
            reader, writer = await asyncio.open_connection(*machine.front, limit=1 << 20)
            for method, path, body, this in (("GET", "/look/2f", b"", site.new_id()), ("POST", "/upload/2f", BODY, id)):
                head = (
                    f"{method} {path} HTTP/1.1\r\nHost: {site_3.HOST}\r\nX-Attempt-Id: {this}\r\n"
                    f"X-Deadline-Ms: 12000\r\nAuthorization: Bearer {site_3.KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode())
                writer.write(body)
                await writer.drain()
                answer = await asyncio.wait_for(site_3.read_answer(reader), 12)
            outcome = str(answer.status) if answer.is_complete else "cut"
        except asyncio.TimeoutError:
            outcome = "no answer by the deadline"
        except (OSError, asyncio.IncompleteReadError):
            outcome = "closed"
        finally:
            if writer is not None:
                writer.close()
        record(f"client got {outcome} for {id}")
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
        if outcome == "closed" and id in running:
            lost.append(id)

    async def watch_memory(machine):
        """Ends a process that exceeds its memory and starts it again, as the platform does."""
        while True:
            await asyncio.sleep(0.02)
            used_mb = machine.memory_mb()
            peak["mb"] = max(peak["mb"], used_mb)
            if used_mb > site_3.MEMORY_MB:
                record(f"machine {machine.number} uses {used_mb:.0f} MB of {site_3.MEMORY_MB} and is killed")
                ends.append(site_3.now())
                machine.process.send_signal(signal.SIGKILL)
                await machine.process.wait()
                await asyncio.sleep(0.5)
                await machine.start()

    watcher = None
    try:
        routes = [
            site_3.route("upload", "/upload/", "non_idempotent", "desk", timeoutMs=12000, targetLatencyMs=6000),
            site_3.route("look", "/look/", "idempotent", "desk"),
        ]
        await site.start(machines=2, routes=routes, plain=4)
        machine = site.machines[0]
        watcher = asyncio.create_task(watch_memory(machine))
        tasks = []
        start = next_upload = site_3.now()
        while (at := site_3.now() - start) < LENGTH_S:
            is_burst = trouble and BURST_AT_S <= at < BURST_AT_S + BURST_S
            if site_3.now() >= next_upload:
                next_upload += 1 / (UPLOADS_PER_S * (BURST_X if is_burst else 1.0))
                tasks.append(asyncio.create_task(upload(machine)))
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)
    finally:
        if watcher:
            watcher.cancel()
        await site.stop()
    record(f"peak memory {peak['mb']:.0f} MB of {site_3.MEMORY_MB}; ends over the limit: {len(ends)}; answers {outcomes}")
    record(f"passed on to a server from a kept connection, which was closed without an answer: {len(lost)} (allowed: 3)")
    print(f"peak {peak['mb']:.0f} MB, ends {len(ends)}, lost {len(lost)}, answers {outcomes}")
    if outcomes.get("200", 0) < 20:
        raise RuntimeError(f"uploads were not served: {outcomes}")
    return len(lost) <= 3


site_3.main(FOLDER, play)
