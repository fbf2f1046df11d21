"""DRAIN: a server says in its answers that it leaves, the process beside it is killed and starts again,
and an announcement from before the leave arrives late."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
import kit  # noqa: E402

DRAIN_S = 2.0
BOUNDS = {"drain": "2000ms", "grace": "6s", "budgetRatio": "0.2", "budgetSlack": "64", "budgetWindow": "10s",
          "floorShare": "0.7"}
BUDGET_MS = 6_000
WORK_S = 0.62
# How late the last announcement as ready arrives, and those as draining: "A ping may arrive seconds late."
READY_LATE_S, DRAINING_LATE_S = 3.2, 5.0
# Without an acknowledgement, the server "exits anyway, some seconds later".
EXIT_S = 4.2


async def play(case):
    one = await case.machine("bankwatch", "corcaigh")
    two = await case.machine("docketry", "corcaigh")
    three = await case.machine("docketry", "luimneach")
    four = await case.machine("bankwatch", "luimneach")
    others = [kit.Server(case.record, one, "i-b1", 7, WORK_S), kit.Server(case.record, three, "i-d3", 7, WORK_S),
              kit.Server(case.record, four, "i-b4", 7, WORK_S)]
    for server in others:
        await server.start()
        case.spawn(case.beats(server))
    leaver = kit.Server(case.record, two, "i-d2", 7, WORK_S)
    await leaver.start()
    beats = case.spawn(case.beats(leaver))
    case.publish([{"name": "confirm", "host": "review.example", "pathPrefix": "/confirm/", "type": "non_idempotent",
                   "timeout": "6000ms", "targetLatency": "2500ms", "priority": 1, "service": "docketry",
                   "maxAttempts": 2}], ["docketry", "bankwatch"])

    async def serves():
        return (await case.request(one, "POST", "/confirm/probe", BUDGET_MS))[1] == 200
    await case.until("machine 1 serves", serves, 15)
    answers = {}
    sent_at = {}

    async def send():
        identity = case.new_id()
        sent_at[identity] = case.record.now()
        _, status, fields, _ = await case.request(one, "POST", "/confirm/x", BUDGET_MS, b"x" * 300, identity)
        answers[identity] = (case.record.now(), status, bool(fields.get("server-leaving")))

    async def traffic():
        while True:
            case.spawn(send())
            await asyncio.sleep(0.1)
    load = case.spawn(traffic())
    # stableWindow is 3 s.
    await asyncio.sleep(4)

    # The last announcement before the leave arrives late, and so do all after it.
    beats.cancel()
    leaver.leaving = True
    case.spawn(leaver.announce("ready", READY_LATE_S))
    await asyncio.sleep(0.2)
    leaves_at = case.record.now()
    case.record.write("the server i-d2 begins to leave: all its answers say so")
    leaver.extra = {"Server-Leaving": "1"}

    async def draining():
        while not leaver.stopped:
            case.spawn(leaver.announce("draining", DRAINING_LATE_S))
            await asyncio.sleep(1.5)
    case.spawn(draining())

    async def told():
        return any(leaving for _, _, leaving in answers.values())
    await case.until("an answer says that the server leaves", told, 5)
    await asyncio.sleep(0.1)
    passed_on = min(at for at, _, leaving in answers.values() if leaving)
    case.record.write(f"machine 1 passed on the first such answer at {passed_on:.3f}")
    if kit.TROUBLE:
        two.signal(signal.SIGKILL)
        await two.process.wait()
        await asyncio.sleep(0.3)
        await two.start()
    await asyncio.sleep(max(0.0, leaves_at + EXIT_S - case.record.now()))
    running = leaver.runs[leaver.ended:]
    case.record.write(f"the server i-d2 ends; it is at work on {len(running)} requests")
    await leaver.stop()
    await asyncio.sleep(1.0)
    load.cancel()
    await asyncio.sleep(BUDGET_MS / 1000)
    late = [(at, identity) for at, identity, _, _ in leaver.runs
            if identity in sent_at and sent_at[identity] > passed_on + DRAIN_S]
    for at, identity in late:
        status = answers.get(identity, (0, 0, False))[1]
        case.record.write(f"request {identity} was sent {sent_at[identity] - passed_on:.3f} s after machine 1 had passed on "
                          f"that the server leaves, and ran there at {at:.3f}; its client got {status or 'no answer'}")
    case.record.write(f"{len(late)} requests reached the leaving server too late")
    return bool(late)


kit.main(FOLDER, BOUNDS, play)
