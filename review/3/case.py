"""Short requests on connections whose runner answered a long request before it had read it."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))),
                                "standins"))
from standins import Gateway, Runner, Store, attempt_id, call, main  # noqa: E402

HOST = "maps.example"
KEY = "key-of-tenant-1"
TIMEOUT_MS = 1_000
DEADLINE_MS = 6_000
UPLOAD_DEADLINE_MS = 4_000
# Rule CONFIG: half a second after the route's timeout there has to be an answer.
SLACK_S = 0.5
# In each round a client uploads, and a moment later another one looks something up.
ROUNDS = 32
ROUND_S = 0.5
LOOKUP_AFTER_S = 0.1
# Within the limit of the configuration, max_body_bytes.
LONG_BODY = 2_000_000
# Receive buffer of a runner's connections, in bytes.
RECEIVE_BUFFER = 65_536
# How long a runner that has answered a long request waits before it reads the rest.
READS_ON_AFTER_S = 2.2

CONFIG = {
    "version": 1,
    "routes": [
        {"name": "lookup", "host": HOST, "path_prefix": "/lookup/", "route_type": "idempotent",
         "service": "viewer-app", "timeout_ms": TIMEOUT_MS, "target_latency_ms": 100,
         "priority": 2, "max_attempts": 2},
        {"name": "upload", "host": HOST, "path_prefix": "/upload/", "route_type": "idempotent",
         "service": "viewer-app", "timeout_ms": 4_000, "target_latency_ms": 1_000,
         "priority": 2, "max_attempts": 2},
    ],
    "services": [{"name": "viewer-app", "health_path": "/healthz"}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
               "idle_timeout_ms": 30000},
    "tenants": [{"name": "tenant-1", "api_keys": [KEY]}],
}


async def send(gateway, record, method, path, body, deadline_ms):
    """One client attempt; returns its time to the answer in seconds, `None` without one."""
    id = attempt_id()
    headers = {"Host": HOST, "X-Attempt-Id": id, "X-Deadline-Ms": str(deadline_ms),
               "Authorization": f"Bearer {KEY}"}
    sent = record.now()
    record.line(f"client sends {id} ({method} {path}, {len(body)} bytes)")
    try:
        answer = await call(gateway.frontend, method, path, headers, body, deadline_ms / 1000)
    except asyncio.TimeoutError:
        record.line(f"client gets no answer to {id} before its deadline")
        return None
    except (OSError, EOFError) as error:
        record.line(f"client gets no answer to {id}: {error}")
        return record.now() - sent
    took = record.now() - sent
    record.line(f"client gets {answer.status} to {id} after {took:.3f} s")
    return took


async def case(record, folder, trouble):
    store = Store()
    await store.start()
    runners = []
    for zone in ("zone-a", "zone-b"):
        runner = Runner(store, record, "viewer-app", zone, window=RECEIVE_BUFFER,
                        longest=100_000, reads_on_after=READS_ON_AFTER_S if trouble else None)
        runner.start()
        runners.append(runner)
    store.put("keyed.op", "config", json.dumps(CONFIG).encode())
    gateway = Gateway(folder, "edge-zone-a-1", "zone-a", store.address)
    gateway.start()
    try:
        await gateway.ready()
        await asyncio.sleep(4)  # In touch: stable_window_ms after the start.
        body = b"u" * LONG_BODY
        sent = []
        for i in range(ROUNDS):
            start = asyncio.get_running_loop().time()
            upload = send(gateway, record, "POST", f"/upload/{i}", body, UPLOAD_DEADLINE_MS)
            sent.append(asyncio.create_task(upload))
            await asyncio.sleep(LOOKUP_AFTER_S)
            lookup = send(gateway, record, "GET", f"/lookup/{i}", b"", DEADLINE_MS)
            sent.append(asyncio.create_task(lookup))
            await asyncio.sleep(start + ROUND_S - asyncio.get_running_loop().time())
        times = (await asyncio.gather(*sent))[1::2]
        limit = TIMEOUT_MS / 1000
        unanswered = [took for took in times if took is None or took > limit]
        late = [took for took in unanswered if took is None or took > limit + SLACK_S]
        record.line(f"of {len(times)} lookups, {len(unanswered)} were unanswered at their route's "
                    f"timeout_ms of {TIMEOUT_MS}, and {len(late)} had no answer half a second later")
        # Both forms of the rule: over half of the unanswered; eight or more, and over a quarter.
        return len(late) >= 8 and 2 * len(late) > len(unanswered) and 4 * len(late) > len(times)
    finally:
        gateway.end()
        for runner in runners:
            runner.stop()


if __name__ == "__main__":
    main(case)
