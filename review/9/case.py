"""The process is replaced and the old one is killed: what its ledger says of the use that it could not attest."""

import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import rig  # noqa: E402

CHECKPOINT_S = 5.0  # The default.
CLIENTS = 20
TOLERANCE_S = 2.0   # In connection-seconds: 0.1 s for each connection.

OPERATOR = 'ledger { folder: "%s" period_s: 86400 checkpoint_ms: 5000 }\n'


async def play(stage, trouble):
    for number in range(3):
        await stage.add_server("s-%d" % number)
    await stage.discovery.start()
    folder = os.path.join(stage.folder, "ledger")
    os.makedirs(folder)
    held = rig.held_socket()
    old = rig.Relay(stage, "n0", label="n0-old", listener=held, operator=OPERATOR % folder)
    await old.start()
    began_at = stage.record.now()
    await asyncio.sleep(0.5)
    clients = [rig.Client(stage, held.getsockname()[1], 3200) for _ in range(CLIENTS)]
    for client in clients:
        stage.spawn(client.run())
    await asyncio.sleep(began_at + 6.5 - stage.record.now())
    new = rig.Relay(stage, "n0", label="n0-new", listener=held, operator=OPERATOR % folder)
    await new.start()
    # The old process has made a checkpoint 10 s after its start, and would make the next one at 15 s.
    await asyncio.sleep(began_at + 14 - stage.record.now())
    if sum(1 for client in clients if client.up() and client.ended_at is None) != CLIENTS:
        raise rig.CannotRun("not all clients are up")
    old.signal(signal.SIGKILL if trouble else signal.SIGTERM)
    await old.process.wait()
    await asyncio.sleep(2 * CHECKPOINT_S + 1)  # The new process takes the folder over at a checkpoint.
    new.signal(signal.SIGTERM)
    await new.process.wait()

    used = sum(client.ended_at - client.answered_at for client in clients)
    code, shown = await rig.command(stage, "ledger", "show", "--folder", folder, "--format", "json")
    path = os.path.join(stage.folder, "export.jsonl")
    exported, _ = await rig.command(stage, "ledger", "export", "--folder", folder, "--out", path)
    if code != 0 or exported != 0:
        raise rig.CannotRun("the ledger cannot be read")
    kept = sum(float(use) for use in rig.values(shown, "use_s"))
    bound = 0.0
    with open(path, encoding="utf-8") as lines:
        for line in lines:
            stage.record.add("export:", line.strip())
            unattested = json.loads(line).get("record", {}).get("unattested")
            for opened in (unattested or {}).get("open", []):
                bound += int(opened.get("bound_us", 0)) / 1e6
    stage.record.add("used %.2f, kept %.2f, unattested at most %.2f connection-seconds" % (used, kept, bound))
    if used > kept + bound + TOLERANCE_S:
        return ["clients used %.2f connection-seconds; the ledger kept %.2f and says that at most %.2f are not attested"
                % (used, kept, bound)]
    return []


rig.main(play)
