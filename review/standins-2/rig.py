"""Stand-ins for the platform around one relay: sync servers, discovery and clients, on loopback addresses.

The stand-ins follow PROTOCOL (lines, discovery over HTTP) and do no more than the pages allow. A case builds a
`Rig`, starts relays with the `run` command of the deploy file, plays its schedule and judges the record.
Only the standard library of Python is used.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "127.0.0.1"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def run_command():
    """The `run` command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as deploy:
        return re.search(r'^run = "(.*)"$', deploy.read(), re.MULTILINE).group(1)


def free_port():
    """A port below the range that the system gives to outgoing connections."""
    for _ in range(1000):
        port = random.randrange(12000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
                return port
            except OSError:
                pass
    raise CannotRun("no free port")


def reset(writer):
    """Ends a connection with a TCP reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Record:
    """record.txt: what was sent, answered and run, with milliseconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def add(self, *words):
        self.file.write("%9.1f %s\n" % (self.now() * 1000, " ".join(str(word) for word in words)))
        self.file.flush()


class Attempt:
    """One request line that a server received."""

    def __init__(self, server, at, line):
        self.server, self.at, self.line = server, at, line
        self.id = line.split(" ")[1]
        self.fields = dict(part.split("=", 1) for part in line.split(" ")[3].split(","))
        self.answer = None
        self.ended_at = None
        self.lines = []
        self.writer = None
        self.finished_at = None  # When the server itself ended the connection.


class Server:
    """A sync server. `answer` is called with each attempt and may be replaced by a case."""

    def __init__(self, rig, name, **entry):
        self.rig, self.name = rig, name
        self.entry = {"id": name, "locality": "here", "flavor": "std", "cell": 0, "phase": "ready",
                      "size": 1.0, "up_since_ms": 0, **entry}
        self.attempts, self.writers, self.ups = [], set(), 0
        self.answer = self.answer_up
        self.on_line = self.echo
        self.listener, self.port = None, None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, HOST, self.port or free_port(), limit=1 << 16)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.entry["host_port"] = "%s:%d" % (HOST, self.port)

    async def answer_up(self, attempt):
        self.up(attempt)

    def up(self, attempt):
        self.ups += 1
        self.say(attempt, "UP r-%s-%d" % (self.name, self.ups))

    def say(self, attempt, line):
        """The first answer to a request."""
        attempt.answer = line
        self.rig.record.add("server", self.name, "answers", attempt.id, line)
        attempt.writer.write(line.encode() + b"\r\n")

    async def echo(self, attempt, line):
        attempt.writer.write(b"re " + line.encode() + b"\r\n")

    def load(self):
        return sum(1 for attempt in self.attempts if attempt.ended_at is None)

    def report(self):
        load = self.load()
        return " inflight=%d,eps=0,x0=%.2f" % (load, load / 100)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        attempt = None
        try:
            while raw := await reader.readline():
                line = raw.decode("latin-1").rstrip("\r\n")
                word = line.split(" ")[0]
                if attempt is not None:
                    attempt.lines.append(line)
                    await self.on_line(attempt, line)
                elif word == "OPEN":
                    attempt = Attempt(self, self.rig.record.now(), line)
                    attempt.writer = writer
                    self.attempts.append(attempt)
                    self.rig.record.add("server", self.name, "gets", line)
                    await self.answer(attempt)
                elif word in ("STATS", "PING"):
                    report = self.report() if word == "STATS" else ""
                    writer.write(b"PONG" + report.encode() + b"\r\n")
                else:
                    writer.write(b"SYNTAX\r\n")
                    self.rig.record.add("server", self.name, "syntax", line)
                await writer.drain()
            if attempt is not None and attempt.answer and attempt.answer.startswith("UP "):
                attempt.finished_at = self.rig.record.now()
                writer.write(b"BYE\r\n")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            if attempt is not None:
                attempt.ended_at = self.rig.record.now()
                self.rig.record.add("server", self.name, "sees the end of", attempt.id)
            writer.close()


class Discovery:
    """The list of servers, as the protocol page has it. `gate` is awaited before a call is answered."""

    def __init__(self, rig):
        self.rig, self.revision, self.changes = rig, 1, []
        self.watches = {}
        self.listener, self.port = None, None
        self.gate = self.open_gate
        self.calls = 0

    async def open_gate(self, head):
        return True

    def go_down(self):
        """Discovery goes down: its watches end and calls are refused."""
        self.rig.record.add("discovery goes down")
        self.listener.close()
        for watch in list(self.watches):
            reset(watch)

    async def come_back(self):
        await self.start()
        self.rig.record.add("discovery is back")

    async def ask(self):
        """Another caller asks for the whole list; returns the phases by name."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(b"GET /v1/endpoints HTTP/1.1\r\nHost: x\r\nX-Caller: other\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        size = int(re.search(rb"Content-Length: (\d+)", head).group(1))
        members = json.loads(await reader.readexactly(size))["members"]
        writer.close()
        phases = {member["id"]: member["phase"] for member in members}
        self.rig.record.add("another caller is told", phases)
        return phases

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, HOST, self.port or free_port())
        self.port = self.listener.sockets[0].getsockname()[1]

    def whole(self):
        members = [server.entry for server in self.rig.servers if server.entry["phase"] != "gone"]
        return {"revision": self.revision, "complete": True, "members": members}

    def change(self, server, **fields):
        """Changes an entry and tells all watches."""
        server.entry.update(fields)
        self.revision += 1
        self.changes.append((self.revision, server))
        self.rig.record.add("discovery has", server.name, json.dumps(fields), "and tells", len(self.watches), "watches")
        for watch in list(self.watches):
            self.chunk(watch, {"revision": self.revision, "complete": False, "members": [server.entry]})

    @staticmethod
    def chunk(writer, value):
        text = json.dumps(value).encode() + b"\n" if value else b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            self.calls += 1
            self.rig.record.add("discovery is called:", head.split("\r\n")[0])
            if not await self.gate(head):
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                self.rig.record.add("discovery answers 503")
                await writer.drain()
                return
            if "watch=1" not in head:
                text = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         b"Transfer-Encoding: chunked\r\n\r\n")
            after = re.search(r"after=(\d+)", head)
            after = int(after.group(1)) if after else 0
            first = self.whole()
            if 0 < after <= self.revision:
                changed = {server.name: server for revision, server in self.changes if revision > after}
                first = {"revision": self.revision, "complete": False,
                         "members": [server.entry for server in changed.values()]}
            self.chunk(writer, first)
            self.watches[writer] = True
            while True:
                await asyncio.sleep(2)
                self.chunk(writer, None)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.pop(writer, None)
            writer.close()


class Client:
    """One client connection: sends OPEN, waits for the first answer, and then a line every `every` seconds."""

    counter = 0

    def __init__(self, rig, port, wait_ms, fields="c=chat", every=2.0, lines=None):
        Client.counter += 1
        self.rig, self.port, self.wait_ms, self.every, self.lines = rig, port, wait_ms, every, lines
        self.id = "%016x" % (0x1000 + Client.counter)
        self.open = "OPEN %s k%d %s,d=%d" % (self.id, Client.counter, fields, wait_ms)
        self.sent_at = self.answered_at = self.ended_at = self.moved_at = None
        self.answer, self.how_ended = None, None
        self.sent, self.got = [], []
        self.reader = self.writer = None
        self.finishing = False

    def up(self):
        return self.answer is not None and self.answer.startswith("UP ")

    async def run(self):
        record = self.rig.record
        try:
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
            self.sent_at = record.now()
            self.writer.write(self.open.encode() + b"\r\n")
            record.add("client sends", self.open)
            try:
                raw = await asyncio.wait_for(self.reader.readline(), self.wait_ms / 1000 + 2)
            except asyncio.TimeoutError:
                record.add("client", self.id, "has no answer 2 s after its time")
                return
            self.answered_at = record.now()
            self.answer = raw.decode("latin-1").rstrip("\r\n")
            record.add("client", self.id, "is answered", repr(self.answer))
            if self.up():
                await self.live()
        except ConnectionError as error:
            self.how_ended = "reset"
            record.add("client", self.id, "connection:", error)
        finally:
            self.ended_at = record.now()
            if self.writer is not None:
                self.writer.close()

    async def live(self):
        record = self.rig.record
        speaking = asyncio.ensure_future(self.speak())
        try:
            while raw := await self.reader.readline():
                line = raw.decode("latin-1").rstrip("\r\n")
                if line == "MOVE":
                    self.moved_at = record.now()
                elif line != "BYE" and not line.startswith("LOAD "):
                    self.got.append((record.now(), line))
            self.how_ended = "moved" if self.moved_at is not None else "ended"
        finally:
            speaking.cancel()
            record.add("client", self.id, "connection ends:", self.how_ended or "reset")

    async def say_last(self):
        """The last line, and the end of the client's sending; it still reads."""
        self.finishing = True
        line = "%s last line" % self.id
        self.sent.append((self.rig.record.now(), line))
        self.rig.record.add("client", self.id, "sends its last line and ends its sending")
        self.writer.write(line.encode() + b"\r\n")
        self.writer.write_eof()

    async def speak(self):
        number = 0
        while not self.finishing and (self.lines is None or number < self.lines):
            number += 1
            line = "%s line %d" % (self.id, number)
            self.sent.append((self.rig.record.now(), line))
            self.writer.write(line.encode() + b"\r\n")
            await asyncio.sleep(self.every)
        if not self.finishing:
            self.writer.write_eof()


def settings(**changes):
    """Settings of a small deployment, in the form of the example configuration."""
    base = {
        "balancers": 1, "zone": 0, "azs": ["here"], "discovery": "subscribe",
        "classes": [{"name": "chat", "effect": "idempotent", "group": "all", "target": 800000,
                     "hardLimit": 3200000, "repeatWindow": 5000000, "stream": True, "worth": 1.0}],
        "familyInfo": {"messageAim": [250000]},
        "stats": {"how": "on_probe", "fields": ["outstanding", "errors_per_s", "x0"]},
        "limits": {"probes": True, "cancel": True, "sendCap": 5, "connectTimeout": 250000,
                   "idleClose": 10000000, "retryAfter": True, "maxRetryAfter": 2000000},
        "invariants": {"answerSlack": 8000, "askWithin": 10000000, "cold": 9000000, "coldFrom": 0.32,
                       "fall": 1000000, "fallMultiple": 3.0, "stopSendingWithin": 250000},
    }
    base.update(changes)
    return base


class Relay:
    """One relay, started with the deploy file's `run`."""

    def __init__(self, rig, name, **options):
        self.rig, self.name = rig, name
        self.port, self.management_port = free_port(), free_port()
        self.folder = os.path.join(rig.folder, options.get("label", name))
        os.makedirs(os.path.join(self.folder, "tmp"), exist_ok=True)
        self.settings = options.get("settings") or settings()
        self.known = options.get("known")
        self.label = options.get("label", name)
        self.listener = options.get("listener")  # The clients' socket, where the platform holds it.
        if self.listener is not None:
            self.port = self.listener.getsockname()[1]
        self.process = None

    def write_configuration(self, discovery_port=None):
        config = {"name": self.name, "listen": "%s:%d" % (HOST, self.port),
                  "discovery": "%s:%d" % (HOST, discovery_port or self.rig.discovery.port),
                  "management": "%s:%d" % (HOST, self.management_port), "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": self.known or self.rig.discovery.whole(), "settings": self.settings}
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w", encoding="utf-8") as out:
            json.dump(config, out)
        os.rename(path + ".new", path)
        return path

    async def start(self):
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        environment["PROXY_CONFIG"] = self.write_configuration()
        environment["TMPDIR"] = os.path.join(self.folder, "tmp")
        inherited = ()
        if self.listener is not None:
            environment["PROXY_ACCEPT_FD"] = str(self.listener.fileno())
            inherited = (self.listener.fileno(),)
        log = open(os.path.join(self.folder, "log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command(), cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log, pass_fds=inherited)
        log.close()
        self.rig.processes.append(self.process)
        self.rig.record.add("relay", self.label, "starts")
        for _ in range(200):
            if await self.ready():
                return
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.05)
        raise CannotRun("relay %s does not start" % self.name)

    async def ready(self):
        """Whether the relay's second address says yes to /v1/readyz."""
        try:
            return (await asyncio.wait_for(self.call("GET", "/v1/readyz"), 1))[0] == 200
        except (OSError, asyncio.TimeoutError, ValueError, IndexError):
            return False

    async def call(self, method, target):
        """A call of the second address; returns the status and the body."""
        reader, writer = await asyncio.open_connection(HOST, self.management_port)
        writer.write(("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" % (method, target)).encode())
        text = (await reader.read()).decode()
        writer.close()
        self.rig.record.add("call", self.label, method, target, text.split("\r\n")[0])
        return int(text.split(" ")[1]), text.split("\r\n\r\n", 1)[1]

    def signal(self, number):
        self.rig.record.add("relay", self.label, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    def alive(self):
        return self.process.returncode is None

    def log(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as text:
            return text.read()


def held_socket():
    """A listening socket for clients that the platform holds and hands down to each process."""
    held = socket.socket()
    held.bind((HOST, free_port()))
    held.listen(512)
    return held


class CannotRun(Exception):
    pass


class Rig:
    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="stoatrun-review-")
        self.servers, self.processes, self.tasks = [], [], []
        self.discovery = Discovery(self)

    async def add_server(self, name, **entry):
        server = Server(self, name, **entry)
        await server.start()
        self.servers.append(server)
        return server

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def close(self):
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(play, limit=110):
    """Runs `play(rig, trouble)` and exits with 1 if it names broken rules, 0 if not, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))

    async def whole():
        rig = Rig(os.path.join(folder, "record.txt"))
        try:
            broken = await asyncio.wait_for(play(rig, trouble), limit)
            for line in broken:
                rig.record.add("BROKEN:", line)
                print("BROKEN:", line)
            rig.record.add("verdict:", "broken" if broken else "held")
            return BROKEN if broken else HELD
        except Exception as error:  # An error of the script is no verdict.
            rig.record.add("could not run:", repr(error))
            print("could not run:", repr(error))
            return CANNOT_RUN
        finally:
            for relay in os.listdir(rig.folder):
                path = os.path.join(rig.folder, relay, "log")
                if os.path.exists(path):
                    with open(path, encoding="utf-8", errors="replace") as text:
                        rig.record.add("log of", relay + ":\n" + text.read())
            await rig.close()

    sys.exit(asyncio.run(whole()))
