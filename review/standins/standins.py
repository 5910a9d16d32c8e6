"""Stand-ins and helpers for the review's cases: a sync server, discovery, a client and the relay's process.

Everything listens on loopback addresses and on free ports. Times are seconds of the monotonic clock, counted from the
start of the script; `Case.record` writes what happens to record.txt.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2  # Exit codes of a script.


class CannotRun(Exception):
    """The case could not be carried out; says nothing about the rule."""


def free_port(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def run_command():
    """The command of the deploy file that starts a relay."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return tomllib.load(file)["run"]


def site_settings(classes, **changes):
    """The settings of a small deployment, with the figures of the protocol page's example."""
    settings = {
        "accounts": [{"name": "wetland-count", "fraction": 0.6, "quotaPerS": 2.0},
                     {"name": "coast-count", "fraction": 0.4, "quotaPerS": 1.0}],
        "azs": ["whk-1"],
        "zone": 0,
        "balancers": 1,
        "classes": classes,
        "discovery": "subscribe",
        "family": "conn",
        "familyInfo": {"groups": False, "messageAim": [250000 for _ in classes], "mode": "proxy"},
        "stats": {"how": "on_probe", "fields": ["outstanding", "errors_per_s", "x0"]},
        "limits": {"cancel": True, "connectTimeout": 250000, "idleClose": 10000000, "maxRetryAfter": 2000000,
                   "probes": True, "retryAfter": True, "secondCopies": False, "sendCap": 5, "streamsPerConn": 1},
        "invariants": {"answerSlack": 8000, "askWithin": 10000000, "cold": 9000000, "coldFrom": 0.32,
                       "fall": 1000000, "fallMultiple": 3.0, "stopSendingWithin": 250000},
        "charges": {"probe": 0.0019, "moves": 0.0075},
    }
    for name, value in changes.items():
        if isinstance(value, dict):
            settings[name] = {**settings.get(name, {}), **value}
        else:
            settings[name] = value
    return settings


class Case:
    """One run of a script: its record, its temporary folder and the processes that it started."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = open(self.folder / "record.txt", "w", encoding="utf-8")
        self.processes = []
        self.record(f"trouble={'on' if self.trouble else 'off'}")

    def now(self):
        return time.monotonic() - self.started

    def record(self, text):
        print(f"{self.now():8.3f} {text}", file=self.record_file, flush=True)

    def start_relay(self, name, settings, discovery, members, operator=None, management=None, listen=None,
                    accept_fd=None):
        """Starts a relay by the deploy file's command. Returns the process; its address is `relay.address`."""
        address = listen or ("127.0.0.1", free_port())
        folder = self.temporary / f"{name}-{len(self.processes)}"
        (folder / "tmp").mkdir(parents=True)
        config = {"name": name, "listen": "%s:%d" % address, "discovery": "%s:%d" % discovery,
                  "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": {"revision": 1, "complete": True, "members": members}, "settings": settings}
        if management:
            config["management"] = "%s:%d" % management
        path = folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        environment = {key: value for key, value in os.environ.items()
                       if not key.startswith(("PROXY_", "STOATRUN_"))}
        environment.update(PROXY_CONFIG=str(path), TMPDIR=str(folder / "tmp"), STOATRUN_LOG="debug")
        if operator:
            (folder / "operator.txtpb").write_text(operator, encoding="utf-8")
            environment["STOATRUN_OPERATOR"] = str(folder / "operator.txtpb")
        if accept_fd is not None:
            environment["PROXY_ACCEPT_FD"] = str(accept_fd)
        log = open(folder / "log.txt", "wb")
        relay = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment,
                                 stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True,
                                 pass_fds=[] if accept_fd is None else [accept_fd])
        relay.address, relay.log, relay.name, relay.config = address, folder / "log.txt", name, path
        self.processes.append(relay)
        self.record(f"relay {name} started, pid {relay.pid}, listens at {address[0]}:{address[1]}")
        return relay

    def signal(self, relay, number):
        self.record(f"{signal.Signals(number).name} to relay {relay.name}, pid {relay.pid}")
        relay.send_signal(number)

    async def await_ready(self, relay, wait=10.0):
        """Waits until the relay answers PONG to PING, as the front does."""
        end = time.monotonic() + wait
        while time.monotonic() < end:
            if relay.poll() is not None:
                raise CannotRun(f"relay {relay.name} exited with {relay.returncode}")
            try:
                reader, writer = await asyncio.open_connection(*relay.address)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if line.strip() == b"PONG":
                    self.record(f"relay {relay.name} answers PONG")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"relay {relay.name} is not ready after {wait} s")

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for process in self.processes:
            with open(process.log, "rb") as log:
                lines = log.read().decode("utf-8", "replace").splitlines()
            self.record(f"---- log of relay {process.name}, pid {process.pid}, exit {process.returncode}")
            for line in lines[-150:]:
                print("    " + line, file=self.record_file)
        self.record_file.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


def run(folder, play, limit=110.0):
    """Plays a case: `play(case)` returns whether the rule held. Exits with the script's code."""
    case = Case(folder)
    code = NOT_RUN
    try:
        held = asyncio.run(asyncio.wait_for(play(case), limit))
        code = HELD if held else BROKEN
        case.record("the rule held" if held else "THE RULE WAS BROKEN")
    except CannotRun as error:
        case.record(f"the case could not run: {error}")
    except (asyncio.TimeoutError, TimeoutError):
        case.record("the case could not run: it took too long")
    except Exception as error:  # noqa: BLE001 - a fault of the script must not look like a result
        case.record(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        case.close()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code])
    sys.exit(code)


class SyncServer:
    """A sound sync server: answers PING and STATS, gives UP to each OPEN and returns each line at once.

    `on_open(line, writer)` may be replaced to answer an OPEN otherwise; it returns whether the connection stands.
    """

    def __init__(self, case, name):
        self.case, self.name = case, name
        self.opens = []  # (time, line) of each OPEN whose last byte has arrived.
        self.standing = 0
        self.receipts = 0
        self.on_open = self.answer_up
        self.server = None
        self.address = None
        self.writers = set()

    async def start(self, backlog=100):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=backlog)
        self.address = self.server.sockets[0].getsockname()[:2]

    def member(self, phase="ready", up_since_ms=0):
        return {"id": self.name, "host_port": "%s:%d" % self.address, "locality": "whk-1", "flavor": "std-2",
                "cell": 1, "phase": phase, "size": 1.0, "up_since_ms": up_since_ms}

    async def answer_up(self, line, writer):
        self.receipts += 1
        writer.write(b"UP %s-%d\r\n" % (self.name.encode(), self.receipts))
        return True

    async def serve(self, reader, writer):
        self.writers.add(writer)
        stands = False
        try:
            while line := await reader.readline():
                at = self.case.now()
                if not line.endswith(b"\n"):
                    break
                if stands:
                    writer.write(line)
                elif line.startswith(b"OPEN "):
                    self.opens.append((at, line.decode().strip()))
                    self.case.record(f"{self.name} got {line.decode().strip()}")
                    stands = await self.on_open(line.decode().strip(), writer)
                    if not stands:
                        break
                    self.standing += 1
                elif line.strip() == b"STATS":
                    writer.write(b"PONG inflight=%d,eps=0,x0=%.3f\r\n" % (self.standing, 0.02 + self.standing / 200))
                elif line.strip() == b"PING":
                    writer.write(b"PONG\r\n")
                else:
                    writer.write(b"SYNTAX\r\n")
                    break
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.standing -= stands
            self.writers.discard(writer)
            writer.close()


class Discovery:
    """Discovery as the protocol page tells: a list, watches with an empty line every 2 s, one queue of calls.

    `silence()`: the watches that are open now stay so and say nothing more. `crowded`: a new call waits `patience` seconds
    and ends with 503. `wait`: how long any other call waits for its answer.
    """

    def __init__(self, case, members, patience=3.0):
        self.case, self.patience = case, patience
        self.members = {member["id"]: member for member in members}
        self.revision = 1
        self.changes = []  # (revision, member)
        self.watches = set()
        self.crowded = False
        self.wait = 0.0
        self.address = None
        self.server = None
        self.silenced = set()
        self.told = []  # (time, revision): written to a relay.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def change(self, member):
        self.revision += 1
        self.members[member["id"]] = member
        self.changes.append((self.revision, member))
        self.case.record(f"discovery has revision {self.revision}: {member['id']} is {member['phase']}")
        for watch in self.watches:
            watch.set()

    def silence(self):
        """All open watches fall silent; those opened later are sound."""
        self.silenced.update(self.watches)

    def news(self, after):
        if 0 < after <= self.revision:
            entries = [member for revision, member in self.changes if revision > after]
            return {"revision": self.revision, "complete": False, "members": entries}
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def serve(self, reader, writer):
        wake = asyncio.Event()
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = request.split(" ")[1]
            self.case.record(f"discovery called: GET {target}")
            if self.crowded:
                await asyncio.sleep(self.patience)
                self.case.record("discovery answers 503: the call waited too long")
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                await writer.drain()
                return
            await asyncio.sleep(self.wait)
            if "watch=1" not in target:
                text = json.dumps(self.news(0)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
                             b"Connection: close\r\n\r\n%s" % (len(text), text))
                await writer.drain()
                return
            after = int(target.split("after=")[1]) if "after=" in target else 0
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.add(wake)
            first = True
            while True:
                wake.clear()
                if wake not in self.silenced:
                    text = b"\n"
                    if first or after < self.revision:
                        text = json.dumps(self.news(after)).encode() + b"\n"
                        self.told.append((self.case.now(), self.revision))
                        self.case.record(f"discovery writes revision {self.revision} to the relay")
                    after, first = self.revision, False
                    writer.write(b"%x\r\n%s\r\n" % (len(text), text))
                    await writer.drain()
                try:
                    await asyncio.wait_for(wake.wait(), 2.0)
                except asyncio.TimeoutError:
                    pass
                if reader.at_eof():
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(wake)
            self.silenced.discard(wake)
            writer.close()


class Client:
    """A client: sends its first line, waits for the answer and then a line every 2 s, as the protocol page says."""

    count = 0

    def __init__(self, case, relay, class_name, wait_ms, tenant="wetland-count", key=None):
        Client.count += 1
        self.case, self.relay = case, relay
        self.id = "%016x" % (0x9b1f03aa00000000 + Client.count)
        self.key = key or "k%08x" % Client.count
        self.wait_ms = wait_ms
        self.line = f"OPEN {self.id} {self.key} c={class_name},t={tenant},d={wait_ms}"
        self.answer = None  # The first line that came back; "" if the connection ended without one.
        self.sent_at = self.answered_at = self.ended_at = None
        self.moved = False
        self.reader = self.writer = None
        self.task = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.relay.address)
        self.sent_at = self.case.now()
        self.writer.write(self.line.encode() + b"\r\n")
        try:
            answer = await asyncio.wait_for(self.reader.readline(), self.wait_ms / 1000 + 2.0)
        except (asyncio.TimeoutError, OSError):
            answer = b""
        self.answered_at = self.case.now()
        self.answer = answer.decode().strip()
        self.case.record(f"client {self.id} was answered '{self.answer}' after "
                         f"{self.answered_at - self.sent_at:.3f} s")
        if self.answer.startswith("UP "):
            self.task = asyncio.create_task(self.stand())
        else:
            self.writer.close()
        return self.answer

    async def stand(self):
        speaker = asyncio.create_task(self.speak())
        try:
            while line := await self.reader.readline():
                if line.strip() == b"MOVE":
                    self.moved = True
        except OSError:
            pass
        finally:
            self.ended_at = self.case.now()
            self.case.record(f"client {self.id} {'was moved' if self.moved else 'was cut off'}")
            speaker.cancel()
            self.writer.close()

    async def speak(self):
        number = 0
        try:
            while True:
                await asyncio.sleep(2.0)
                number += 1
                self.writer.write(b"line %d\r\n" % number)
                await self.writer.drain()
        except OSError:
            pass

    async def leave(self):
        if self.task and not self.task.done():
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        if self.writer:
            self.writer.close()


async def http_call(address, method, path, wait=2.0):
    """One call of the second address. Returns the status."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: relay\r\nContent-Length: 0\r\n\r\n".encode())
    text = await asyncio.wait_for(reader.read(), wait)
    writer.close()
    return int(text.split(b" ")[1])
