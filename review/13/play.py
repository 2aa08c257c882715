"""All machines are killed at once while two software versions serve; clients take their streams up again."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "12"))
import site_3  # noqa: E402

CONTACT_S = 3.0
EVENTS = 100
PAUSE_S = 0.1
DEADLINE_MS = 15000
STREAMS = 36
RESTART_S = 0.5


class VersionedServer(site_3.Server):
    version = "v1"

    def entry(self):
        return {**super().entry(), "version": self.version}


class Stream:
    """A stream as its client sees it."""

    def __init__(self, id, deadline):
        self.id = id
        self.deadline = deadline
        self.events = []
        self.versions = set()


async def play(trouble, record):
    async def run(server, request, writer):
        id = request.header("x-attempt-id")
        after = int(request.header("last-event-id") or 0)
        record(f"server {server.id} ({server.version}) runs {id} after event {after}")
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in server.seal(request)]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {server.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        writer.write(b"0\r\n\r\n")
        return True

    site = site_3.Site("13", run, record)
    started = {}

    def in_touch(machine):
        return site_3.now() >= started[machine.number] + CONTACT_S

    async def attempt(stream, machine, until=None):
        """One client attempt; returns its status and the number of events that it brought."""
        id = site.new_id()
        record(f"client sends {id} (stream {stream.id}) to machine {machine.number}")
        lines = [
            "POST /talk/2f HTTP/1.1", f"Host: {site_3.HOST}", f"X-Attempt-Id: {id}",
            f"X-Deadline-Ms: {int((stream.deadline - site_3.now()) * 1000)}",
            f"Authorization: Bearer {site_3.KEY}", f"X-Model: {site_3.MODEL}/a1", "X-Token-Count: 100,400",
            f"X-Prompt-Prefix: 5c1e07a2:60,{random.getrandbits(30):x}:40", "Content-Length: 0",
        ]
        if stream.id:
            lines += [f"Resumes: {stream.id}", f"Last-Event-Id: {stream.events[-1]}"]
        brought, status, retry_after = 0, None, 0.5
        writer = None
        try:
            reader, writer = await asyncio.open_connection(*machine.front)
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)).decode("latin-1").lower()
            status = int(head.split(" ")[1])
            if "retry-after: " in head:
                retry_after = float(head.split("retry-after: ")[1].split("\r\n")[0])
            while status == 200 and (until is None or site_3.now() < until):
                size = int(await asyncio.wait_for(reader.readuntil(b"\r\n"), 3), 16)
                chunk = (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
                for event in chunk.decode().split("\n\n"):
                    if event:
                        number, version = event.split("\n")
                        stream.events.append(int(number[4:]))
                        stream.versions.add(version[6:])
                        stream.id = stream.id or id
                        brought += 1
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as cause:
            status = status or type(cause).__name__
        finally:
            if writer is not None:
                writer.close()
        return status, brought, retry_after

    taken_up, gone_on, begun, asked = set(), set(), 0, 0

    async def client(number, break_at):
        """Begins a stream; its connection breaks at a time; the client takes it up again some seconds later."""
        stream = Stream(None, site_3.now() + DEADLINE_MS / 1000)
        status, brought, _ = await attempt(stream, site.machines[number % 4], until=break_at)
        record(f"client {number}: stream {stream.id} began with {status}, {brought} events until it broke")
        if not stream.id:
            return
        await asyncio.sleep(break_at + 4.5 + random.random() * 1.5 - site_3.now())
        for retry in range(2):
            machine = site.machines[(number + 1 + retry) % 4]
            is_in_touch = in_touch(machine)
            status, brought, retry_after = await attempt(stream, machine)
            record(
                f"client {number}: takes {stream.id} up at machine {machine.number} "
                f"({'in' if is_in_touch else 'out of'} touch): {status}, {brought} events"
            )
            if is_in_touch:
                taken_up.add(stream.id)
                if brought:
                    gone_on.add(stream.id)
            if brought or status == 200:
                break
            await asyncio.sleep(retry_after)
        if len(stream.versions) > 1:
            record(f"client {number}: events of two versions")

    async def new_stream(number):
        nonlocal begun, asked
        stream = Stream(None, site_3.now() + 5)
        status, brought, _ = await attempt(stream, site.machines[number % 4], until=site_3.now() + 1.0)
        asked += 1
        begun += brought > 0
        record(f"new stream: {status}, {brought} events")

    async def kill_all():
        record("all machines are killed")
        for machine in site.machines:
            machine.process.send_signal(signal.SIGKILL)
        for machine in site.machines:
            await machine.process.wait()
        await asyncio.sleep(RESTART_S)
        for machine in site.machines:
            await machine.start()
            started[machine.number] = site_3.now()

    try:
        await site.store.open(site.ip(201))
        routes = [site_3.route(
            "talk", "/talk/", "streaming", "engines", resumable=True, maxAttempts=2, timeoutMs=DEADLINE_MS)]
        site.store.put("config", "main", site.configuration(1, routes))
        for number in range(8):
            server = VersionedServer(site, "engines", number, adapter_slots=9)
            server.version = "v1" if number < 4 else "v2"
            site.servers.append(server)
            await server.start()
        for number in range(1, 5):
            machine = site_3.Machine(site, number)
            site.machines.append(machine)
            await machine.start(bootstrap=True)
            started[number] = site_3.now()
        for machine in site.machines:
            await site.wait_ready(machine)
        await asyncio.sleep(4.0)
        break_at = site_3.now() + 4.0
        tasks = []
        for number in range(STREAMS):
            tasks.append(asyncio.create_task(client(number, break_at + (0.5 if trouble else 0))))
            await asyncio.sleep(3.0 / STREAMS)
        await asyncio.sleep(break_at - site_3.now())
        if trouble:
            await kill_all()
        await asyncio.sleep(break_at + 4.5 - site_3.now())
        for number in range(24):
            tasks.append(asyncio.create_task(new_stream(number)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)
    finally:
        await site.stop()
    share_on = len(gone_on) / max(1, len(taken_up))
    share_new = begun / max(1, asked)
    text = f"taken up in touch {len(taken_up)}, gone on {len(gone_on)}; new streams {asked}, begun {begun}"
    record(text)
    print(text)
    if len(taken_up) < 12 or begun < 12:
        raise RuntimeError("too few streams")
    return share_on >= share_new / 2


site_3.main(FOLDER, play)
