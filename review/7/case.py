"""Clients are moved by a drain while lines stream to them; the relay is held up for 0.12 s, once."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import rig  # noqa: E402

HELD_UP_S = 0.12     # The page: up to 0.15 s.
HOLD_AFTER_S = 1.5   # After the call; the drain moves clients between 0.4 and 2.6 s.
LINE_EVERY_S = 0.04
BEFORE_MOVE_S = 0.05  # Lines that cross the MOVE are no loss: only those count that were sent this long before it.
CLIENTS = 60


async def play(stage, trouble):
    for number in range(10):
        server = await stage.add_server("s-%d" % number)

        async def up_and_stream(attempt, server=server):
            server.up(attempt)
            attempt.wrote = []

            async def stream():
                while attempt.ended_at is None and not attempt.writer.transport.is_closing():
                    line = "tally %d" % (len(attempt.wrote) + 1)
                    attempt.wrote.append((stage.record.now(), line))
                    attempt.writer.write(line.encode() + b"\r\n")
                    await asyncio.sleep(LINE_EVERY_S)

            stage.spawn(stream())

        server.answer = up_and_stream
    await stage.discovery.start()
    relay = rig.Relay(stage, "n0")
    await relay.start()
    await asyncio.sleep(1)
    clients = [rig.Client(stage, relay.port, 3200) for _ in range(CLIENTS)]
    for client in clients:
        stage.spawn(client.run())
        await asyncio.sleep(0.05)
    await asyncio.sleep(1)
    status, _ = await relay.call("POST", "/v1/relay/drain")
    if status != 200:
        raise rig.CannotRun("the drain is refused")
    await asyncio.sleep(HOLD_AFTER_S)
    if trouble:
        relay.signal(signal.SIGSTOP)
        stopped_at = stage.record.now()
        await asyncio.sleep(HELD_UP_S)
        relay.signal(signal.SIGCONT)
        held_up = stage.record.now() - stopped_at
        stage.record.add("the relay was held up for %.3f s" % held_up)
        if held_up > 0.15:
            raise rig.CannotRun("the relay was held up for longer than the page allows")
    await asyncio.sleep(3)

    broken = []
    attempts = {attempt.id: attempt for server in stage.servers for attempt in server.attempts if attempt.answer}
    moved = [client for client in clients if client.up() and client.moved_at is not None]
    if not moved:
        raise rig.CannotRun("no client was moved")
    for client in moved:
        attempt, got = attempts[client.id], {line for _, line in client.got}
        lost = [(at, line) for at, line in attempt.wrote
                if at < client.moved_at - BEFORE_MOVE_S and line not in got]
        for at, line in lost:
            stage.record.add("client", client.id, "never gets", line, "sent at %.1f ms" % (at * 1000))
        if lost:
            broken.append("client %s got MOVE at %.3f s, and never %d lines that its server sent before; the first at "
                          "%.3f s" % (client.id, client.moved_at, len(lost), lost[0][0]))
        unheard = [line for at, line in client.sent
                   if at < client.moved_at - BEFORE_MOVE_S and line not in attempt.lines]
        if unheard:
            broken.append("client %s got MOVE at %.3f s; its server never got: %s" % (
                client.id, client.moved_at, unheard))
    return broken


rig.main(play)
