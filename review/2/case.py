"""A batch on a new route goes to an owner that has not read the new configuration yet."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../stand"))

import fleet
from store import Store
from worker import Worker, text

ITEMS = 12


async def case(folder, record, vms):
    store = Store()
    services = {"engines": True}
    first = [fleet.route("lots", "rollout", "engines")]
    await store.put("op", "config", fleet.config(1, first, services))
    workers = [await Worker.start(store, f"w-{n}", "engines", record) for n in range(3)]
    for index in (1, 2):
        vms.append(fleet.Vm(folder, index, await store.endpoint(), record))
        vms[-1].start()
    for vm in vms:
        await vm.wait_ready()
    other, owner = vms

    # A running step makes one VM the owner of further batches of its model.
    running = {f"a{n}": (f"/lots/{n}", 250) for n in range(6)}
    if await fleet.submit(owner, "/lots/1", "step-0", fleet.batch(running), record) != 202:
        raise fleet.CannotRun("step 0 was not accepted")
    await asyncio.sleep(1.5)

    connection = await owner.endpoint.wait_for_feed("op")
    if fleet.TROUBLE:
        connection.silent = True
        record(f"one channel from {owner.name} to the store is silent from now on")
    routes = first + [fleet.route("more", "rollout", "engines")]
    await store.put("op", "config", fleet.config(2, routes, services))
    acknowledged = time.monotonic()
    record("configuration 2 with the new route /more/ was acknowledged")

    items = {f"b{n}": (f"/more/{n}", 20) for n in range(ITEMS)}
    status = None
    while status != 202 and time.monotonic() < acknowledged + 10:
        status = await fleet.submit(other, "/more/1", "step-1", fleet.batch(items), record)
        if status != 202:
            await asyncio.sleep(0.1)
    if status != 202:
        raise fleet.CannotRun("step 1 was not accepted")
    accepted = time.monotonic()
    results = await fleet.read_all(vms, "step-1", ITEMS, 30, record)

    # No worker answered 422 or 500, the batch was not ended, its route is in force, and max_queue_s
    # is 40 s, so no item may be dead.
    in_time = time.monotonic() < accepted + 40
    dead = [result["id"] for result in results if result["state"] == "dead"]
    runs = {run["id"] for worker in workers for run in worker.runs}
    record(f"dead: {len(dead)} of {ITEMS}, never at a worker: {len(set(items) - runs)}")
    wrong = [result["id"] for result in results
             if result["state"] == "completed" and result["text"] != text(result["id"], 20)]
    record(f"listed: {len(results)}, wrong text: {len(wrong)}")
    if not dead and not wrong and len(results) < ITEMS:
        raise fleet.CannotRun("the batch was not listed in time")
    return not (dead and in_time) and not wrong


fleet.run(case, HERE)
