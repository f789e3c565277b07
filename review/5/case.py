"""Channels of requesters are reset in the middle of streams of a plain service; they resume them."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from deployment import config, headers, plain_service, route  # noqa: E402
from standins import CannotRun, Proxy, StreamEngine, ZONES, request, run_case  # noqa: E402

SERVICE = "crew-api"
EVENTS = 32
STREAMS = 10
CUT_AFTER_BYTES = 700  # in the middle of the events


async def play(record, deployment, trouble):
    store = deployment.store
    store.put_config(config(7, [route("feed", "/feed/", "streaming", SERVICE, resume=True)],
                            [plain_service(SERVICE)]))
    StreamEngine.events = EVENTS
    await deployment.add_engines(*[StreamEngine(record, store, SERVICE, f"i-{z}", z) for z in ZONES])
    deployment.start_nodes()
    await deployment.wait_ready()
    proxy = Proxy(deployment.nodes[0].ip, deployment.nodes[0].port)
    await proxy.start()
    deployment.closers.append(proxy)

    findings = []
    for i in range(STREAMS):
        # Half of the channels of one of six machines.
        proxy.cut_after = CUT_AFTER_BYTES if trouble and i % 2 == 0 else None
        cuts = proxy.cuts
        first = await request(record, proxy.server_ip, proxy.port, "POST", "/feed/x",
                              headers(f"s{i}-first"))
        pieces = first.event_ids()
        complete = first.complete
        if proxy.cuts > cuts:
            if first.complete or not pieces:
                raise CannotRun("the channel was not cut inside the answer")
            again = await request(record, proxy.server_ip, proxy.port, "POST", "/feed/x",
                                  headers(f"s{i}-resumed", last_event=pieces[-1]))
            pieces, complete = pieces + again.event_ids(), again.complete
        record.add(f"pieces of s{i}: {pieces}")
        if complete and pieces != list(range(1, EVENTS + 1)):
            findings.append(f"the requester of s{i} got the pieces {pieces}")
    return findings


sys.exit(run_case(FOLDER, play))
