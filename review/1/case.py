"""The last tenant leaves: first its keys are taken away, then its entry. Nobody holds a key then."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from deployment import HOST, KEY, TENANT, config, headers, plain_service, route  # noqa: E402
from standins import BOUNDS, CannotRun, Engine, ZONES, request, run_case  # noqa: E402

SERVICE = "crew-api"
ROUTES = [route("status-ping", "/ping/", "unsafe", SERVICE, timeout_ms=1500, attempts=1)]
WAIT_S = BOUNDS["revoke-ms"] / 1000 + 1


async def ask_all(record, deployment, step):
    """One request with the tenant's key, one with a key of nobody and one without, to each node."""
    for i, node in enumerate(deployment.nodes):
        for kind, key in (("withdrawn", KEY), ("unknown", "key-of-nobody"), ("none", None)):
            await request(record, node.ip, node.port, "POST", "/ping/1",
                          headers(f"{step}-{kind}-{i}", key, 1500))


async def play(record, deployment, trouble):
    services = [plain_service(SERVICE)]
    store = deployment.store
    store.put_config(config(7, ROUTES, services))
    await deployment.add_engines(*[Engine(record, store, SERVICE, f"i-{z}", z) for z in ZONES])
    deployment.start_nodes()
    await deployment.wait_ready()

    await ask_all(record, deployment, "v7")
    ran = {run["request"] for run in deployment.runs()}
    if ran != {f"v7-withdrawn-{i}" for i in range(len(deployment.nodes))}:
        raise CannotRun(f"the first version is not in force: {sorted(ran)}")

    if trouble:
        keyless = [{"name": TENANT, "api-keys": [], "priority": 1}]
        store.put_config(config(9, ROUTES, services, keyless))
        await asyncio.sleep(WAIT_S)
        await ask_all(record, deployment, "v9")
        store.put_config(config(12, ROUTES, services, []))
    else:
        store.put_config(config(12, ROUTES, services))
    await asyncio.sleep(WAIT_S)
    await ask_all(record, deployment, "v12")

    findings = []
    for run in deployment.runs():
        step, kind, _ = run["request"].split("-")
        if kind in ("unknown", "none"):
            findings.append(f"{run['request']} ran: no config ever held its key")
        elif trouble and step in ("v9", "v12"):
            findings.append(f"{run['request']} ran: sent {WAIT_S} s after the ack of the config that "
                            "took its key away")
    return findings


sys.exit(run_case(FOLDER, play))
