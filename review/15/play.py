"""A part of a prompt crashes servers; the own part behind it has an identifier of 32 digits."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "12"))
import site_3  # noqa: E402

CONTACT_S = 3.0
# Parts before the own part of a request; the last of them crashes servers.
PARTS = 3
PLACE = PARTS
# Digits of the identifier of the own part.
DIGITS = int(os.environ.get("DIGITS", "32"))
POISON = 0xDEAD0001
SOUND_PER_S = 20
POISON_PER_S = 1.5
LENGTH_S = 25


def prompt(number, part):
    parts = [0x5C1E0000 + index for index in range(1, PARTS + 1)]
    parts[PLACE - 1] = part
    own = f"7{number:0{DIGITS - 1}x}"
    return ",".join(f"{id:x}:20" for id in parts) + f",{own}:60"


async def play(trouble, record):
    reached = []
    site = None

    async def run(server, request, writer):
        id = request.header("x-attempt-id")
        is_poison = f"{POISON:x}:" in request.header("x-prompt-prefix")
        record(f"server {server.id} runs {id}{' with the part' if is_poison else ''}")
        if not is_poison:
            return await server.stream(request, writer)
        reached.append(site_3.now())
        await asyncio.sleep(0.05)
        # It ends as it begins to write the answer.
        server.crash(down_s=3.0)
        record(f"server {server.id} has crashed")
        return False

    site = site_3.Site("15", run, record)
    answers = {}

    async def send(number, is_poison):
        machine = site.machines[number % len(site.machines)]
        headers = [
            ("X-Model", f"{site_3.MODEL}/a1"),
            ("X-Token-Count", f"{PARTS * 20 + 60},24"),
            ("X-Prompt-Prefix", prompt(number, POISON if is_poison else 0x5C1E0000 + PLACE)),
        ]
        body = f"prompt number {number}".encode()
        id, answer = await site.send(machine, "POST", "/notes/2f", headers, body)
        kind = "poison" if is_poison else "sound"
        record(f"client got {answer} for {kind} {id} from machine {machine.number}")
        key = (kind, str(answer.status or "cut") if answer.is_complete else "cut")
        answers[key] = answers.get(key, 0) + 1

    try:
        routes = [site_3.route("notes", "/notes/", "streaming", "engines")]
        await site.start(machines=3, routes=routes, engines=10)
        tasks = []
        start = site_3.now()
        number, next_sound, next_poison = 0, start, start + 4
        while site_3.now() < start + LENGTH_S:
            if site_3.now() >= next_sound:
                next_sound += 1 / SOUND_PER_S
                number += 1
                tasks.append(asyncio.create_task(send(number, False)))
            if trouble and site_3.now() >= next_poison:
                next_poison += 1 / POISON_PER_S
                number += 1
                tasks.append(asyncio.create_task(send(number, True)))
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)
    finally:
        await site.stop()
    crashes = sorted(at for server in site.servers for at in server.crash_times)
    record(f"answers: {sorted(answers.items())}")
    record(f"servers crashed {len(crashes)} times; {len(reached)} requests with the part reached servers")
    if len(answers) == 0 or answers.get(("sound", "200"), 0) < 50:
        raise RuntimeError(f"sound requests were not served: {answers}")
    if trouble and len(crashes) < 5:
        return True
    late = [at for at in reached if at > crashes[4] + CONTACT_S] if crashes else []
    record(f"later than contactMs after the fifth crash: {len(late)} (allowed: 3)")
    print(f"crashes {len(crashes)}, late {len(late)}, answers {sorted(answers.items())}")
    return len(late) <= 3


site_3.main(FOLDER, play)
