"""Replaces a relay process while discovery is slow or fails, and measures what clients and endpoints see.

    replacement_program.py RELAY                     the test: discovery does not answer the new process
    replacement_program.py RELAY --form FORM [--scenario SCENARIO] [--drain before|during] [--pushed] [--relays N]
    replacement_program.py RELAY --all [--pushed] [--relays N]      every form and scenario, some side by side

Guards against a new process that sends requests to endpoints which the old process knows to drain, or that is not
ready within the platform's 6 s. The listening socket and $TMPDIR are passed on as the platform does. Prints a line
a replacement: the time to the yes, requests to draining endpoints later than the bound, clients refused, and
attempts that the new processes denied because of their list (a large fleet's admission refuses some as well).
Exits with 1 if a process is not ready in time or fails, or if a request is late.
"""

import argparse
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

HOST = "127.0.0.1"
MAX_TIME_TO_READY_S = 6.0
KNOWN_AFTER_READY_S = 2.0
GRACE_S = 0.25 + 0.05
ENDPOINTS, DRAINING = 11, 2
TROUBLE_S = 12.0           # From the start of the new process on, discovery treats calls as the form says.
OBSERVATION_S = 16.0       # From the last yes on.
CLIENT_INTERVAL_S, SESSION_S, CLIENT_WAIT_S = 0.27, 4.0, 3.2
REJECTION = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# How discovery treats a call: rejected, reset or closed at once or late, never answered, answered in part or late,
# in pieces, down with all watches, or rejected late once and then answered late.
FORMS = ["503", "503-late", "reset", "reset-late", "close", "hang", "head", "half", "malformed", "pieces",
         "slow-2.5", "slow-5", "slow-9", "down", "503-late-then-slow"]
# One replacement; two in a row, the second while the first process still runs or after it; the old process killed
# 1 s before; each process with a $TMPDIR of its own, so that only `known` is left.
SCENARIOS = ["replace", "twice", "twice-late", "killed", "known"]


def listen():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, 0))
    listener.listen(512)
    return listener


def address(listener):
    return "%s:%d" % listener.getsockname()


def in_background(function, *arguments):
    threading.Thread(target=function, args=arguments, daemon=True).start()


def serve(listener, handle):
    """Runs `handle` in a thread for each connection, until the listener is closed."""
    def guarded(connection):
        try:
            handle(connection)
        except OSError:
            pass  # The relay has ended the connection.
        finally:
            connection.close()

    def accept():
        try:
            while True:
                in_background(guarded, listener.accept()[0])
        except OSError:
            pass
    in_background(accept)


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def chunk(text):
    return b"%x\r\n%s\r\n" % (len(text), text)


class Endpoint:
    """Accepts requests, or rejects them while it drains; remembers when they came."""

    def __init__(self, name):
        self.name, self.listener, self.requests, self.phase = name, listen(), [], "ready"
        serve(self.listener, self.handle)

    def entry(self):
        return {"id": self.name, "host_port": address(self.listener), "locality": "here", "phase": self.phase}

    def handle(self, connection):
        for line in connection.makefile("r", newline="\r\n"):
            if line.startswith("OPEN "):
                self.requests.append(time.monotonic())
                connection.sendall(b"UP r\r\n" if self.phase == "ready" else b"BUSY\r\n")
            elif line.startswith("STATS"):
                connection.sendall(b"PONG outstanding=1,errors_per_s=0,x0=0.05\r\n")


class Discovery:
    """Answers calls with the present list, but for the time of the trouble. Open watches go on."""

    def __init__(self, endpoints, form):
        self.endpoints, self.form, self.revision = endpoints, form, 1
        self.watches, self.trouble_until, self.calls_in_trouble = [], 0.0, 0
        self.listener = listen()
        self.name = address(self.listener)
        serve(self.listener, self.handle)

    def whole(self):
        return {"revision": self.revision, "complete": True,
                "members": [endpoint.entry() for endpoint in self.endpoints]}

    def drain(self):
        """The first endpoints begin to drain, and open watches are told."""
        for endpoint in self.endpoints[:DRAINING]:
            endpoint.phase = "draining"
        self.revision += 1
        for watch in list(self.watches):
            self.send(watch, self.whole())

    def begin_trouble(self):
        self.trouble_until = time.monotonic() + TROUBLE_S
        if self.form == "down":
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            for watch in list(self.watches):
                reset(watch)
            in_background(self.come_back)

    def come_back(self):
        time.sleep(TROUBLE_S)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, int(self.name.split(":")[1])))
        self.listener.listen(512)
        serve(self.listener, self.handle)

    def send(self, connection, update):
        try:
            connection.sendall(chunk(json.dumps(update).encode() + b"\n"))
        except OSError:
            pass

    def handle(self, connection):
        connection.recv(4096)
        if time.monotonic() < self.trouble_until and not self.treat(connection):
            return
        connection.sendall(ANSWER_HEAD)
        self.send(connection, self.whole())
        self.watches.append(connection)
        try:
            while True:
                time.sleep(2)
                connection.sendall(chunk(b"\n"))
        finally:
            self.watches.remove(connection)

    def treat(self, connection):
        """Treats a call as the form says. Returns whether it is to be answered after all."""
        self.calls_in_trouble += 1
        form = self.form
        if form == "503-late-then-slow":
            form = "503-late" if self.calls_in_trouble == 1 else "slow-2.5"
        if form.startswith("slow-"):
            time.sleep(float(form.split("-")[1]))
            return True
        if form.endswith("-late"):
            time.sleep(3.0 if form == "503-late" else 1.0)
        text = json.dumps(self.whole()).encode() + b"\n"
        if form.startswith("503"):
            connection.sendall(REJECTION)
        elif form.startswith("reset"):
            reset(connection)
        elif form == "pieces":
            connection.sendall(ANSWER_HEAD)
            for at in range(0, len(text), 100):
                connection.sendall(chunk(text[at:at + 100]))
                time.sleep(0.4)
        elif form != "close":
            partial = {"hang": b"", "head": ANSWER_HEAD, "half": ANSWER_HEAD + chunk(text[:60]),
                       "malformed": ANSWER_HEAD + chunk(b"}{\n")}[form]
            connection.sendall(partial)
            time.sleep(60)
        return False


class Relay:
    def __init__(self, program, folder, name, listener, discovery, known, options):
        management = listen()
        self.management = management.getsockname()
        management.close()
        settings = {
            "balancers": options.relays, "zone": 0, "azs": ["here"],
            "discovery": "automatic" if options.pushed else "subscribe",
            "classes": [{"name": "chat", "effect": "idempotent", "group": "all", "target": 500000,
                         "hardLimit": 3200000}],
            "stats": {"how": "on_probe", "fields": ["outstanding", "errors_per_s", "x0"]},
            "limits": {"probes": True, "cancel": True, "sendCap": 5, "connectTimeout": 250000},
            "invariants": {"stopSendingWithin": 250000}}
        path = os.path.join(folder, name + ".json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump({"name": "n0", "listen": address(listener), "discovery": discovery.name,
                       "management": "%s:%d" % self.management, "seed": "7", "known": known,
                       "settings": settings}, out)
        temporary = os.path.join(folder, "tmp-" + name if options.scenario == "known" else "tmp")
        os.makedirs(temporary, exist_ok=True)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        environment.update(PROXY_CONFIG=path, TMPDIR=temporary, PROXY_ACCEPT_FD=str(listener.fileno()))
        self.log = os.path.join(folder, name + ".log")
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen([program], env=environment, stderr=log, stdin=subprocess.DEVNULL,
                                            pass_fds=(listener.fileno(),))
        self.started_at = time.monotonic()

    def is_ready(self):
        try:
            with socket.create_connection(self.management, 1) as call:
                call.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return call.recv(4096).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def await_ready(self):
        while not self.is_ready():
            if time.monotonic() - self.started_at > MAX_TIME_TO_READY_S:
                sys.exit("not ready within 6 s:\n" + self.log_text())
            time.sleep(0.02)
        return time.monotonic()

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    def await_end(self):
        if self.process.wait(10) != 0:
            sys.exit("a process failed:\n" + self.log_text())

    def log_text(self):
        with open(self.log, encoding="utf-8") as text:
            return text.read()

    def denied_attempts(self):
        """How many attempts were not made because of the list; to be called after the end."""
        return int(re.search(r"attempts_denied_by_overdue_list=(\d+)", self.log_text()).group(1))


class Clients:
    """Opens connections at a steady rate. `answers`: time and answer of each request."""

    def __init__(self, listener):
        self.address, self.answers, self.stopped = listener.getsockname(), [], False
        in_background(self.run)

    def run(self):
        number = 0
        while not self.stopped:
            number += 1
            in_background(self.request, number)
            time.sleep(CLIENT_INTERVAL_S)

    def request(self, number):
        sent_at, answer = time.monotonic(), ""
        try:
            with socket.create_connection(self.address, CLIENT_WAIT_S) as client:
                client.sendall(b"OPEN %016x k%d c=chat,d=%d\r\n" % (number, number, 1000 * CLIENT_WAIT_S))
                answer = client.makefile("r").readline()
                self.answers.append((sent_at, answer))
                time.sleep(SESSION_S)
        except OSError:
            if not answer:
                self.answers.append((sent_at, "no answer"))


def start_new(play, name, relays):
    relay = Relay(play["program"], play["folder"], name, play["listener"], play["discovery"], play["known"],
                  play["options"])
    relays.append(relay)
    return relay


def replace(play, relays, scenario):
    """Plays the scenario. Returns the longest time to a yes, and when the first and the last one came."""
    discovery, old = play["discovery"], relays[0]
    if scenario == "killed":
        old.process.kill()
        old.process.wait()
        time.sleep(1)
    discovery.begin_trouble()
    ready, times_to_ready = [], []
    for name in ["second", "third"] if scenario.startswith("twice") else ["second"]:
        new = start_new(play, name, relays)
        if play["options"].drain == "during" and name == "second":
            time.sleep(0.5)
            discovery.drain()
            play["told_at"] = time.monotonic()
        ready.append(new.await_ready())
        times_to_ready.append(ready[-1] - new.started_at)
        if scenario != "killed" or name == "third":
            relays[-2].terminate()
        if scenario == "twice-late" and name == "second":
            relays[-2].process.wait(10)
    return max(times_to_ready), ready


def play_replacement(program, folder, options):
    """Returns the printed line, and whether all bounds held."""
    endpoints = [Endpoint("s-%d" % number) for number in range(ENDPOINTS)]
    discovery = Discovery(endpoints, options.form)
    listener = listen()
    play = {"program": program, "folder": folder, "options": options, "discovery": discovery,
            "listener": listener, "known": discovery.whole(), "told_at": 0.0}
    relays = []
    start_new(play, "first", relays).await_ready()
    clients = Clients(listener)
    time.sleep(2)
    if options.drain == "before":
        discovery.drain()
    time.sleep(1)
    begun_at = time.monotonic()
    time_to_ready, ready = replace(play, relays, options.scenario)
    time.sleep(options.observation)
    clients.stopped = True
    for relay in relays[:-1]:
        if options.scenario != "killed" or relay is not relays[0]:
            relay.await_end()
    relays[-1].terminate()
    relays[-1].await_end()
    bound = max(ready[0] + KNOWN_AFTER_READY_S, play["told_at"]) + GRACE_S
    late = [at - ready[0] for endpoint in endpoints[:DRAINING] for at in endpoint.requests if at > bound]
    answers = [answer for sent_at, answer in clients.answers if sent_at >= begun_at]
    refused = [answer for answer in answers if not answer.startswith("UP")]
    denied = sum(relay.denied_attempts() for relay in relays[1:])
    line = "%-18s %-10s %-6s yes %.2f s, late %d%s, refused %d of %d, denied for the list %d" % (
        options.form, options.scenario, options.drain, time_to_ready, len(late),
        " (last %.1f s after the yes)" % max(late) if late else "", len(refused), len(answers), denied)
    return line, not late, refused, relays


def run_one(program, options):
    with tempfile.TemporaryDirectory() as folder:
        line, held, refused, relays = play_replacement(program, folder, options)
        print(line, flush=True)
        if options.is_test:
            if "endpoint list of the previous process revision=2 entries=11" not in relays[1].log_text():
                sys.exit("the new process did not take the list over:\n" + relays[1].log_text())
            if refused:
                sys.exit("clients were refused: %s" % refused)
        if not held:
            sys.exit("requests reached draining endpoints")


def run_all(program, options):
    """Plays all forms of a scenario side by side, in processes of their own; returns the number that failed."""
    failures = 0
    for scenario, drain in [(scenario, "before") for scenario in SCENARIOS] + [("replace", "during")]:
        command = [sys.executable, os.path.abspath(__file__), program, "--scenario", scenario, "--drain", drain,
                   "--relays", str(options.relays)] + (["--pushed"] if options.pushed else [])
        plays = [subprocess.Popen(command + ["--form", form]) for form in FORMS]
        failures += sum(play.wait() != 0 for play in plays)
    return failures


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("relay")
    parser.add_argument("--form", choices=FORMS)
    parser.add_argument("--scenario", choices=SCENARIOS, default="replace")
    parser.add_argument("--drain", choices=["before", "during"], default="before")
    parser.add_argument("--pushed", action="store_true")
    parser.add_argument("--relays", type=int, default=1)
    parser.add_argument("--all", action="store_true")
    options = parser.parse_args()
    if options.all:
        sys.exit(1 if run_all(options.relay, options) else 0)
    options.is_test = options.form is None
    options.form = options.form or "hang"
    # The test ends before the old process's list does: until then nobody is refused.
    options.observation = 4.0 if options.is_test else OBSERVATION_S
    run_one(options.relay, options)


main()
