"""The operator takes all API keys away, and callers go on with keys that aren't in force."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))),
                                "standins"))
from standins import Gateway, Runner, Store, attempt_id, call, main  # noqa: E402

HOST = "maps.example"
# As on the sheets of the small deployments.
TENANTS = 10
KEYS_PER_TENANT = 2
# Keys that are taken away in each series, and the pause between two.
REVOCATIONS = (5, 5, 5, 5)
GAP_S = 0.3
# Bounds of the deployment.
CONFIG_APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
# A key that is in no version of the configuration.
NEVER = "key-that-nobody-holds"


def config(version, keys):
    return {
        "version": version,
        "routes": [
            {"name": "tiles", "host": HOST, "path_prefix": "/tiles/",
             "route_type": "non_idempotent", "service": "viewer-app", "timeout_ms": 2_000,
             "target_latency_ms": 100, "priority": 2, "max_attempts": 1},
        ],
        "services": [{"name": "viewer-app", "health_path": "/healthz"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
        "tenants": [{"name": f"tenant-{i}", "api_keys": keys[i]} for i in range(TENANTS)],
    }


async def send(gateway, record, key):
    """One client attempt; returns its id and its status, `None` without an answer."""
    id = attempt_id()
    headers = {"Host": HOST, "X-Attempt-Id": id, "X-Deadline-Ms": "2000"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    record.line(f"client sends {id} with {key or 'no key'}")
    try:
        answer = await call(gateway.frontend, "POST", "/tiles/1", headers, b"tile", 2)
    except (asyncio.TimeoutError, OSError, EOFError) as error:
        record.line(f"client gets no answer to {id}: {type(error).__name__} {error}")
        return id, None
    record.line(f"client gets {answer.status} to {id}")
    return id, answer.status


async def case(record, folder, trouble):
    store = Store()
    await store.start()
    runners = [Runner(store, record, "viewer-app", zone) for zone in ("zone-a", "zone-b")]
    for runner in runners:
        runner.start()
    keys = [[f"key-{j}-of-tenant-{i}" for j in range(KEYS_PER_TENANT)] for i in range(TENANTS)]
    first = [key for held in keys for key in held]
    version = 1
    store.put("keyed.op", "config", json.dumps(config(version, keys)).encode())
    gateways = [Gateway(folder, f"edge-{zone}-1", zone, store.address)
                for zone in ("zone-a", "zone-b")]
    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.ready()
        await asyncio.sleep(STABLE_WINDOW_S + 1)  # In touch.
        refused = []
        for gateway in gateways:
            for key in first:
                _, status = await send(gateway, record, key)
                refused.append(status != 200)
            _, status = await send(gateway, record, NEVER)
            refused.append(status == 200)
        if any(refused):
            raise RuntimeError("keys aren't handled as configured before the disruption")
        if trouble:
            for count in REVOCATIONS:
                for _ in range(count):
                    holder = next(held for held in keys if held)
                    gone = holder.pop()
                    version += 3
                    store.put("keyed.op", "config", json.dumps(config(version, keys)).encode())
                    record.line(f"operator takes {gone} away: version {version} is acknowledged")
                    await asyncio.sleep(GAP_S)
        await asyncio.sleep(CONFIG_APPLY_S + STABLE_WINDOW_S)
        held = {key for keys_of in keys for key in keys_of}
        never, dropped = [], []
        for gateway in gateways:
            for key in [NEVER, None, *first]:
                id, _ = await send(gateway, record, key)
                if key is None or key == NEVER:
                    never.append(id)
                elif key not in held:
                    dropped.append(id)
        await asyncio.sleep(1)
        ran = {id: headers for runner in runners for id, headers in runner.ran}
        never = [id for id in never if id in ran]
        dropped = [id for id in dropped if id in ran]
        tenants = sorted({str(ran[id].get("x-tenant")) for id in never + dropped})
        record.line(f"ROUTE: {len(never)} requests ran whose key no configuration ever held")
        record.line(f"CONFIG: {len(dropped)} requests ran with a dropped key, sent over "
                    f"{CONFIG_APPLY_S} s after the acknowledgement; X-Tenant was {tenants}")
        return bool(never or dropped)
    finally:
        for gateway in gateways:
            gateway.end()
        for runner in runners:
            runner.stop()


if __name__ == "__main__":
    main(case)
