"""A repeat of a deduplicated request is written after the class's repeatWindow.

Two parts, each with one disruption and a relay of its own: the relay is held up for 0.15 s (part A), and the
connection of the repeat comes up late (part B). The rule is broken if either part breaks it.
"""

import asyncio
import pathlib
import signal
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import standins  # noqa: E402

CLASS = "checklist-sync"
WINDOW_S = 1.0          # classes[].repeatWindow.
CLIENT_WAIT_MS = 3200   # The client's d; classes[].hardLimit.
SLACK_S = 0.05          # "every time limit is longer by 50 ms".

# Part A.
HELD_UP_S = 0.145       # "held up for up to 0.15 s".
BATCH = 16              # Requests that are repeated at the same time.
HELD_UP_ROUNDS = 10
ERROR_BEFORE_END_S = 0.04  # The first server answers ERR this long before the window ends.

# Part B.
ERROR_AFTER_S = 0.6     # The first server answers ERR after this long: well within the window.
LATE_ROUNDS = 3
ORDINARY = 2            # Requests between two late ones, so that at most a third of the connections come up late.


def class_settings(group):
    return [{"name": CLASS, "effect": "deduplicated", "group": group, "repeatWindow": int(WINDOW_S * 1e6),
             "target": 800000, "hardLimit": CLIENT_WAIT_MS * 1000, "lateWorth": 0.0, "stream": True, "worth": 3.0}]


def check_repeats(case, runs, keys):
    """Returns the number of repeats of the keys and whether all came within the window."""
    repeats, held = 0, True
    for key in keys:
        attempts = runs.get(key, [])
        for again_at, again in attempts[1:]:
            repeats += 1
            first_at, first = attempts[0]
            in_time = again_at - first_at <= WINDOW_S + SLACK_S
            held = held and in_time
            case.record(f"key {key}: {first} got it, {again} got it again {again_at - first_at:.3f} s later, "
                        f"{'in time' if in_time else 'TOO LATE'}; allowed within {WINDOW_S + SLACK_S:.2f} s")
    return repeats, held


async def held_up(case):
    """Part A. The settings are those of the protocol page's example, but for the class."""
    servers = [standins.SyncServer(case, f"s-{number}") for number in range(6)]
    for server in servers:
        await server.start()
    members = [server.member() for server in servers]
    discovery = standins.Discovery(case, members)
    await discovery.start()
    settings = standins.site_settings(class_settings("zone"))

    runs, waiting, erring = {}, [], {"s-0", "s-1", "s-2"}
    ordinary = set()  # Keys that are served at once.

    def answer(server):
        async def on_open(line, writer):
            key = line.split(" ")[2]
            attempts = runs.setdefault(key, [])
            attempts.append((case.now(), server.name))
            if key in ordinary or server.name not in erring or len(attempts) > 1:
                return await server.answer_up(line, writer)
            done = asyncio.Event()
            waiting.append((case.now(), writer, done))
            await done.wait()
            return False
        return on_open

    for server in servers:
        server.on_open = answer(server)

    keys, stopped = [], False
    for _ in range(HELD_UP_ROUNDS):
        # A relay for each round, as one remembers for some seconds which servers answered ERR.
        relay = case.start_relay("n1", settings, discovery.address, members)
        await case.await_ready(relay)
        for _ in range(30):  # Ordinary requests, so that the relay sets up many at a time.
            client = standins.Client(case, relay, CLASS, CLIENT_WAIT_MS)
            ordinary.add(client.key)
            await client.open()
            await client.leave()
        waiting.clear()
        clients = [standins.Client(case, relay, CLASS, CLIENT_WAIT_MS) for _ in range(2 * BATCH)]
        opened = [asyncio.create_task(client.open()) for client in clients]
        await asyncio.sleep(0.3)
        if not waiting:
            raise standins.CannotRun("no server got a request that it could answer ERR")
        first_at = min(at for at, _, _ in waiting)
        await asyncio.sleep(first_at + WINDOW_S - ERROR_BEFORE_END_S - case.now())
        case.record(f"{len(waiting)} requests are answered ERR: they may have run")
        for index, (_, writer, _) in enumerate(waiting):
            writer.write(b"ERR\r\n")
            if case.trouble and index == len(waiting) // 2:
                relay.send_signal(signal.SIGSTOP)  # The shell has been replaced by the relay (`exec`).
                stopped = True
        if stopped:
            await asyncio.sleep(HELD_UP_S)  # What the relay wrote before it was stopped is read meanwhile.
            relay.send_signal(signal.SIGCONT)
            case.record(f"the relay was held up for {HELD_UP_S} s")
            stopped = False
        for _, _, done in waiting:
            done.set()
        await asyncio.gather(*opened)
        for client in clients:
            await client.leave()
        keys += [client.key for client in clients]
        case.signal(relay, signal.SIGKILL)
        relay.wait()
    repeats, held = check_repeats(case, runs, keys)
    case.record(f"part A: {repeats} repeats, the rule {'held' if held else 'WAS BROKEN'}")
    return repeats, held


class LateServer:
    """A sync server whose listening queue can be full for a while: a connection then comes up about 1 s late.

    The kernel drops the SYN of a new connection while the queue is full; the relay's kernel sends it again 1 s later.
    """

    def __init__(self, case, name):
        self.case, self.name = case, name
        self.logic = standins.SyncServer(case, name)
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.listener.setblocking(False)
        self.logic.address = self.listener.getsockname()
        self.fillers = []
        self.accepting = True
        self.wake = asyncio.Event()
        self.task = asyncio.create_task(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            if not self.accepting:
                await asyncio.sleep(0.005)
                continue
            try:
                connection, _ = self.listener.accept()
            except BlockingIOError:
                await asyncio.sleep(0.002)
                continue
            reader = asyncio.StreamReader()
            protocol = asyncio.StreamReaderProtocol(reader)
            transport, _ = await loop.connect_accepted_socket(lambda p=protocol: p, connection)
            writer = asyncio.StreamWriter(transport, protocol, reader, loop)
            asyncio.create_task(self.logic.serve(reader, writer))

    def fill(self):
        """Fills the listening queue: nothing more comes up until `drain`."""
        self.accepting = False
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.logic.address)
            self.fillers.append(filler)
        self.case.record(f"{self.name}: connections come up late from now on")

    def drain(self):
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.accepting = True
        self.case.record(f"{self.name}: connections come up again")


async def late_connection(case):
    """Part B. connectTimeout is 1.5 s, as long as the page says that a connection may take to come up."""
    servers = [LateServer(case, "s-a"), LateServer(case, "s-b")]
    members = [server.logic.member() for server in servers]
    discovery = standins.Discovery(case, members)
    await discovery.start()
    settings = standins.site_settings(class_settings("all"), stats={"how": "off", "fields": []},
                                      limits={"probes": False, "connectTimeout": 1500000})
    relay = case.start_relay("n2", settings, discovery.address, members)
    await case.await_ready(relay)
    await asyncio.sleep(0.5)

    erring = set()  # Keys whose first attempt is answered ERR.
    runs = {}       # By key: (time, server) of each attempt whose last byte has arrived.

    def answer(server, other):
        async def on_open(line, writer):
            key = line.split(" ")[2]
            attempts = runs.setdefault(key, [])
            attempts.append((case.now(), server.name))
            if key not in erring or len(attempts) > 1:
                return await server.logic.answer_up(line, writer)
            if case.trouble:
                other.fill()
                asyncio.get_running_loop().call_later(WINDOW_S, other.drain)
            await asyncio.sleep(ERROR_AFTER_S)
            case.record(f"{server.name} answers ERR: the request may have run")
            writer.write(b"ERR\r\n")
            await writer.drain()
            return False
        return on_open

    servers[0].logic.on_open = answer(servers[0], servers[1])
    servers[1].logic.on_open = answer(servers[1], servers[0])

    keys = []
    for _ in range(LATE_ROUNDS):
        for _ in range(ORDINARY):
            client = standins.Client(case, relay, CLASS, CLIENT_WAIT_MS)
            if not (await client.open()).startswith("UP "):
                raise standins.CannotRun("an ordinary request was not served")
            await client.leave()
        client = standins.Client(case, relay, CLASS, CLIENT_WAIT_MS)
        erring.add(client.key)
        keys.append(client.key)
        await client.open()
        await client.leave()
        await asyncio.sleep(1.5)
    repeats, held = check_repeats(case, runs, keys)
    share = LATE_ROUNDS / (LATE_ROUNDS * (ORDINARY + 2)) if case.trouble else 0
    case.record(f"part B: {repeats} repeats, share of late connections {share:.2f}, "
                f"the rule {'held' if held else 'WAS BROKEN'}")
    return repeats, held


async def play(case):
    repeats_a, held_a = await held_up(case)
    repeats_b, held_b = await late_connection(case)
    if not case.trouble and (repeats_a == 0 or repeats_b == 0):
        raise standins.CannotRun("no request was repeated, so the window was not tried")
    return held_a and held_b


standins.run(pathlib.Path(__file__).resolve().parent, play)
