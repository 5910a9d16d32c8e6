"""The process is replaced while discovery is slow; a server has been draining since before the new process began."""

import asyncio
import copy
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import rig  # noqa: E402

CALL_ENDS_S = 3.0    # A call that waits for 3 s (the site's `timeout_ms`) ends in 503: the first one here.
CALL_WAITS_S = 2.5   # Later ones are answered after this time.
BINDS_AFTER_S = 2.0  # News of discovery binds from 2 s after the new process's yes.
GRACE_S = 0.25 + 0.05


async def play(stage, trouble):
    for number in range(11):  # The site: 10 to 14 servers, 3.6 new connections a second.
        await stage.add_server("s-%d" % number)
    draining = stage.servers[:2]  # The site: up to 19% of the fleet at a time.
    await stage.discovery.start()
    known = copy.deepcopy(stage.discovery.whole())  # The list as the relay had it when it was configured.
    held = rig.held_socket()
    old = rig.Relay(stage, "n0", label="n0-old", listener=held, known=known)
    await old.start()
    clients = []

    async def arrivals():
        while True:
            clients.append(rig.Client(stage, held.getsockname()[1], 3200, lines=2))
            stage.spawn(clients[-1].run())
            await asyncio.sleep(0.27)

    stage.spawn(arrivals())
    await asyncio.sleep(2)
    for server in draining:
        async def turn_away(attempt, server=server):
            server.say(attempt, "BUSY")

        server.answer = turn_away
        stage.discovery.change(server, phase="draining")
    await asyncio.sleep(2)
    if trouble:
        stage.calls_begun = 0

        async def slow(head):
            stage.calls_begun += 1
            first = stage.calls_begun == 1
            await asyncio.sleep(CALL_ENDS_S if first else CALL_WAITS_S)
            return not first

        stage.discovery.gate = slow
    new = rig.Relay(stage, "n0", label="n0-new", listener=held, known=known)
    await new.start()  # Ends with its yes.
    yes_at = stage.record.now()
    old.signal(signal.SIGTERM)
    await asyncio.sleep(8)
    if not new.alive():
        raise rig.CannotRun("the new process ended")
    return ["the new process said yes at %.2f s; server %s, which drains since before that, got a request at %.2f s" % (
        yes_at, server.name, attempt.at)
            for server in draining for attempt in server.attempts
            if attempt.at > yes_at + BINDS_AFTER_S + GRACE_S]


rig.main(play)
