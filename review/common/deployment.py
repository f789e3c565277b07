"""The configuration that the cases share: the form of `fleetbench wire`, with names of its own."""

HOST = "desk.example"
TENANT, KEY = "dispatch", "key-of-dispatch"
LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
          "idle-timeout-ms": 15000}


def plain_service(name):
    return {"name": name, "health-check": "/healthz", "max-connections": 96, "protocol": "h1",
            "tls": False}


def model_service(name, models, load_s=1.0, warm_s=0.5):
    return {**plain_service(name), "max-connections": 304, "engine": {
        "slots": 26, "kv-capacity": 1590000, "kv-bytes": 327680, "link-mbps": 400000.0, "stride": 7,
        "models": [{"name": m, "size": size, "share": 1.0 / len(models), "pace": 1.0,
                    "load-s": load_s, "warm-s": warm_s} for m, size in models.items()],
        "step_ms": 5.95, "per_seq_ms": 0.0445, "context_per_k": 0.00813, "read_per_s": 50700.0,
        "pairs_per_m": 0.368, "chunk": 2048, "report_lag_ms": 200.0, "loads-per-s": 4.5,
        "loads_at_once": 6, "delays": [], "usual": {"prompt": 1115, "answer": 178},
        "retention-count": 1, "far_x": 2.5, "form-ms": 300.0}}


def route(name, prefix, kind, service, resume=False, timeout_ms=8000, attempts=2):
    found = {"name": name, "hostname": HOST, "prefix": prefix, "route-type": kind,
             "timeout-ms": timeout_ms, "target-latency-ms": 300, "priority": 1, "service": service,
             "max-attempts": attempts, "public": False}
    if kind == "streaming":
        found |= {"session-affinity": True, "stream-resume": resume, "gap-target-ms": 300}
    return found


def config(version, routes, services, tenants=None):
    if tenants is None:
        tenants = [{"name": TENANT, "api-keys": [KEY], "priority": 1}]
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS,
            "tenants": tenants}


def headers(request_id, key=KEY, deadline_ms=8000, model=None, last_event=None):
    found = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms)}
    if key:
        found["Authorization"] = f"Bearer {key}"
    if model:
        found |= {"X-Model": model, "X-Token-Count": "600,80",
                  "X-Prefix-Hash": f"5c1e07a2:40,{abs(hash(request_id)) % (1 << 32):08x}:560"}
    if last_event is not None:
        found["Last-Event-Id"] = str(last_event)
    return found
