"""All watches fall silent, the first new call fails and the next is answered slowly: requests to a draining server."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import standins  # noqa: E402

CLASS = "sighting-feed"
KNOWN_S = 6.0            # "counts as told at the latest 6 s after it fell silent".
GRACE_S = 0.25           # invariants.stopSendingWithin.
SLACK_S = 0.05           # "every time limit is longer by 50 ms".
PATIENCE_S = 3.0         # The site's discovery timeout_ms: a call that waits longer ends with 503.
CROWDED_S = 5.0          # From the silence on: calls that are made meanwhile wait too long and fail.
SLOW_S = 2.9             # Later calls wait this long and are answered.
PLAYED_S = 12.0          # From the silence on.
REQUESTS_PER_S = 15


async def play(case):
    servers = [standins.SyncServer(case, name) for name in ("s-a", "s-b", "s-c", "s-d")]
    for server in servers:
        await server.start()
    members = [server.member() for server in servers]
    discovery = standins.Discovery(case, members, patience=PATIENCE_S)
    await discovery.start()
    settings = standins.site_settings(
        [{"name": CLASS, "effect": "idempotent", "group": "all", "repeatWindow": 5000000, "target": 800000,
          "hardLimit": 3200000, "lateWorth": 0.0, "stream": True, "worth": 2.0}], balancers=2)
    relays = [case.start_relay(name, settings, discovery.address, members) for name in ("n1", "n2")]
    for relay in relays:
        await case.await_ready(relay)
    await asyncio.sleep(1.0)

    async def request(relay):
        client = standins.Client(case, relay, CLASS, 3200)
        await client.open()
        await client.leave()

    async def traffic(until):
        number = 0
        pending = []
        while case.now() < until:
            pending.append(asyncio.create_task(request(relays[number % len(relays)])))
            number += 1
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*pending)

    before = asyncio.create_task(traffic(case.now() + 3.0))
    await before
    silent_at = case.now()
    if case.trouble:
        discovery.silence()
        discovery.crowded, discovery.wait = True, SLOW_S
        case.record("all open watches fall silent; discovery is crowded: a new call waits 3 s and ends with 503")

    async def drain():
        await asyncio.sleep(0.5)
        discovery.change(servers[0].member(phase="draining"))
        await asyncio.sleep(CROWDED_S - 0.5)
        discovery.crowded = False
        case.record(f"discovery answers each call that is made from now on, after {discovery.wait} s")

    drained = asyncio.create_task(drain())
    await traffic(silent_at + PLAYED_S)
    await drained

    if case.trouble:
        told_at = silent_at + KNOWN_S
    else:
        told_at = min(at for at, revision in discovery.told if revision == 2) + 0.05
    limit = told_at + GRACE_S + SLACK_S
    late = [(at, line) for at, line in servers[0].opens if at > limit]
    case.record(f"the drain of s-a counted as told to both relays at {told_at:.3f}; nothing may be sent to it after "
                f"{limit:.3f}")
    for at, line in late:
        case.record(f"late: s-a got a request at {at:.3f}, {at - limit:.3f} s after that: {line}")
    case.record(f"s-a got {len(servers[0].opens)} requests, {len(late)} of them late; "
                f"the last change was written at {max(at for at, _ in discovery.told):.3f}")
    if not servers[0].opens:
        raise standins.CannotRun("s-a got no request at all")
    return not late


standins.run(pathlib.Path(__file__).resolve().parent, play)
