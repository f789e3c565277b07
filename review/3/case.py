"""A second model service with the same model is added, and one of two routes moves to it."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from deployment import config, headers, model_service, route  # noqa: E402
from standins import BOUNDS, ModelEngine, ZONES, request, run_case  # noqa: E402

FIRST, SECOND, MODEL, SIZE = "dispatch-llm", "dispatch-llm-next", "m0", 2
ENGINES_PER_ZONE = 2 * SIZE
ROUNDS = 3


def routes(service_of_briefs):
    return [route("call-summary", "/summary/", "streaming", FIRST, resume=True),
            route("crew-brief", "/brief/", "streaming", service_of_briefs, resume=True)]


async def ask_all(record, deployment, step):
    for i, node in enumerate(deployment.nodes):
        for kind in ("summary", "brief"):
            await request(record, node.ip, node.port, "POST", f"/{kind}/x",
                          headers(f"{step}-{kind}-{i}", model=MODEL))


async def play(record, deployment, trouble):
    store = deployment.store
    first, second = (model_service(name, {MODEL: SIZE}) for name in (FIRST, SECOND))
    store.put_config(config(7, routes(FIRST), [first]))
    for service, short in ((FIRST, "a"), (SECOND, "b")):
        await deployment.add_engines(*[
            ModelEngine(record, store, service, f"i-{short}-{zone}-{i}", zone,
                        domain=f"{zone}-{short}")
            for zone in ZONES for i in range(ENGINES_PER_ZONE)])
    deployment.start_nodes()
    await deployment.wait_ready()

    def serving(service):
        return sum(e.service == service and bool(e.group) and e.group["state"] == "open"
                   for e in deployment.engines)
    replicas = len(ZONES) * ENGINES_PER_ZONE // SIZE
    await deployment.wait(lambda: serving(FIRST) == replicas, 40, "the first service's replicas")
    await asyncio.sleep(1)
    await ask_all(record, deployment, "v7")

    if trouble:
        store.put_config(config(9, routes(SECOND), [second, first]))
        await asyncio.sleep(BOUNDS["config-apply-ms"] / 1000 + 1)
        await deployment.wait(lambda: serving(SECOND) == replicas, 40, "the second one's replicas")
        await asyncio.sleep(1)
    since = time.monotonic()
    for i in range(ROUNDS):
        await ask_all(record, deployment, f"later{i}")

    findings = []
    for run in deployment.runs():
        kind = run["path"].split("/")[1]
        if kind == "summary" and run["service"] == SECOND:
            findings.append(f"{run['request']} ran at {run['engine']} of {SECOND}: no config ever "
                            "sent its route there (ROUTE)")
        if trouble and kind == "brief" and run["service"] == FIRST and run["at"] > since:
            findings.append(f"{run['request']} ran at {run['engine']} of {FIRST}: only the older "
                            "version allows it (CONFIG)")
    return findings


sys.exit(run_case(FOLDER, play))
