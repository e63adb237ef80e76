"""The operator removes the route of a batch while its results are still being read."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../stand"))

import fleet
from store import Store
from worker import Worker

ITEMS = 8
TRAINER_HOST = "trainer.example"


async def case(folder, record, vms):
    store = Store()
    services = {"engines": True, "plain": False}
    kept = [fleet.route("safe", "safe", "plain")]
    routes = kept + [fleet.route("lots", "rollout", "engines", host=TRAINER_HOST)]
    await store.put("op", "config", fleet.config(1, routes, services))
    for number in range(2):
        await Worker.start(store, f"w-{number}", "engines", record)
    for index in (1, 2, 3):
        vms.append(fleet.Vm(folder, index, await store.endpoint(), record))
        vms[-1].start()
    for vm in vms:
        await vm.wait_ready()

    items = {f"a{n}": (f"/lots/{n}", 20) for n in range(ITEMS)}
    body = fleet.batch(items)
    status = await fleet.submit(vms[0], "/lots/1", "step-0", body, record, host=TRAINER_HOST)
    if status != 202:
        raise fleet.CannotRun("the batch was not accepted")
    accepted = time.monotonic()
    first = await fleet.read_all(vms, "step-0", ITEMS, 15, record, host=TRAINER_HOST)
    if len(first) < ITEMS:
        raise fleet.CannotRun("the batch was not listed in time")
    record("the whole batch has been read")
    # The last disturbance, the start of the processes, is more than `contact_ms` ago.
    await asyncio.sleep(max(0, accepted + 5 - time.monotonic()))
    if fleet.TROUBLE:
        await store.put("op", "config", fleet.config(2, kept, services))
        record("configuration 2 without the route of the batch was acknowledged")

    wrong = 0
    while time.monotonic() < accepted + 20:
        await asyncio.sleep(2.5)
        for vm in vms:
            status, page = await fleet.read_results(vm, "step-0", 0, wait_ms=0, host=TRAINER_HOST)
            record(f"read of step-0 from the start at {vm.name}: {status}, "
                   f"{len(page['results']) if page else None} results")
            wrong += status in (404, 410) or (status == 200 and page["results"] != first)
    # For the record only: the end of the batch.
    await fleet.end_batch(vms[0], "step-0", record, host=TRAINER_HOST)
    record(f"reads of a kept batch that were answered 404 or 410 or differed: {wrong}")
    return wrong == 0


fleet.run(case, HERE)
