"""A resumable stream breaks off, and the worker that is asked to resume it answers 500."""

import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../stand"))

import fleet
import http1
from store import Store
from worker import Worker

STREAMS = 24
EVENTS = 60


async def case(folder, record, vms):
    store = Store()
    routes = [fleet.route("chat", "streaming", "engines")]
    await store.put("op", "config", fleet.config(1, routes, {"engines": True}))
    workers = [await Worker.start(store, f"w-{n}", "engines", record, event_ms=40, slots=16)
               for n in range(3)]
    vms.append(fleet.Vm(folder, 1, await store.endpoint(), record))
    vms[0].start()
    await vms[0].wait_ready()

    async def stream(number):
        name = f"s{number}"
        headers = {"X-Filbertsail-Attempt-Id": name, "X-Filbertsail-Deadline-Ms": 9000,
                   "X-Filbertsail-Model": "lm", "X-Filbertsail-Token-Counts": f"10,{EVENTS}"}
        body = json.dumps({"events": EVENTS}).encode()
        answer = await http1.call(vms[0].front, "POST", f"/chat/{number}", headers, body, 12)
        if answer is None:
            record(f"stream {name}: no answer")
            return None
        ids = [int(line[4:]) for line in answer.body.decode().split("\n") if line.startswith("id: ")]
        record(f"stream {name}: status {answer.status}, {len(ids)} of {EVENTS} events, "
               f"{'ended as complete' if answer.complete else 'broken off'}")
        return answer.status, answer.complete, ids

    streams = [asyncio.create_task(stream(number)) for number in range(STREAMS)]
    await asyncio.sleep(0.8)
    if fleet.TROUBLE:
        asked = 0

        async def fail_two_in_five(run, request, connection):
            nonlocal asked
            asked += 1
            if asked % 5 not in (1, 3):
                return None
            record(f"worker {run['worker']} answers 500 to {run['id']}")
            return http1.message(500, b"", workers[1].headers(request, run))

        workers[1].intercept = fail_two_in_five
        await workers[0].crash_now()
    ended = [answer for answer in await asyncio.gather(*streams) if answer is not None]

    resumed = sum(run["last"] is not None for worker in workers for run in worker.runs)
    record(f"runs that resumed a stream: {resumed}")
    if fleet.TROUBLE and resumed == 0:
        raise fleet.CannotRun("no stream was resumed")
    whole = list(range(1, EVENTS + 1))
    cut = [ids for status, complete, ids in ended if status == 200 and complete and ids != whole]
    record(f"streams that ended as complete before their last event: {len(cut)}")
    return not cut


fleet.run(case, HERE)
