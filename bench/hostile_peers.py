#!/usr/bin/env python3
"""Measures one relay process beside hostile peers: peak memory, other clients' answer times, ids that ran.

    bench/hostile_peers.py CASE [--relay build/stoatrun] [--memory-mb 32] [--seconds 5] [--sockets 1024]

`--list` prints the cases. The relay, one endpoint with discovery, the hostile peer and the well-behaved clients
are processes of their own on loopback. The relay is killed when its resident memory exceeds the limit. Prints
one line of figures; exits with 1 if the relay was killed or a request was forwarded that must not be.
"""

import argparse
import json
import multiprocessing
import os
import random
import resource
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HOST = "127.0.0.1"
ACCEPT_FD = 100
FORWARD_AFTER_LEAVING_S = 0.35  # The protocol's 0.3 s, and 50 ms on sockets.


def listen(port=0):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(1024)
    return listener


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


# ---- the endpoint and discovery ----

class Endpoint:
    """Answers OPEN with `answer` and echoes lines. Records (time, id) of each OPEN."""

    def __init__(self, listener, queue, answer):
        self.listener, self.queue, self.answer = listener, queue, answer

    def run(self):
        poller, buffers = select.epoll(), {}
        poller.register(self.listener, select.EPOLLIN)
        while True:
            for fd, _ in poller.poll():
                if fd == self.listener.fileno():
                    connection, _ = self.listener.accept()
                    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    buffers[connection.fileno()] = [connection, b"", False]
                    poller.register(connection, select.EPOLLIN)
                    continue
                state = buffers[fd]
                try:
                    data = state[0].recv(65536)
                    if data:
                        self.handle(state, data)
                except OSError:
                    data = b""
                if not data:
                    poller.unregister(fd)
                    state[0].close()
                    del buffers[fd]

    def handle(self, state, data):
        if state[2]:
            state[0].setblocking(False)
            try:
                state[0].send(data)
            except BlockingIOError:
                pass
            return
        state[1] += data
        while b"\n" in state[1] and not state[2]:
            line, state[1] = state[1].split(b"\n", 1)
            if line.startswith(b"OPEN"):
                self.queue.put((time.monotonic(), line.split(b" ")[1].decode()))
                state[2] = True
                time.sleep(0)
                state[0].sendall(self.answer.encode() + b"\r\n")
            elif line.startswith(b"STATS"):
                state[0].sendall(b"PONG inflight=100,x0=0.1\r\n")


def discovery_list(ports, revision=1):
    members = [{"id": "s-%d" % port, "host_port": "%s:%d" % (HOST, port), "locality": "here", "cell": 0,
                "phase": "ready", "size": 1.0, "up_since_ms": 0} for port in ports]
    return json.dumps({"revision": revision, "complete": True, "members": members}).encode()


def serve_watch(connection, ports, hostile, seconds):
    """One call of discovery; `hostile` writes what follows the first list."""
    try:
        connection.recv(4096)
        if hostile == "a-discovery-head":
            connection.sendall(b"HTTP/1.1 200 OK\r\n" + b"a:b\r\n" * 3_000_000)
            return
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        connection.sendall(chunk(discovery_list(ports) + b"\n"))
        time.sleep(1)
        end, number = time.monotonic() + seconds, 0
        if hostile == "a-discovery-half":
            connection.sendall(chunk(b'{"revision":2,"members":[' + b'{"id":"x"},' * 190_000))
        elif hostile == "a-discovery-fields":
            connection.sendall(chunk(b'{"revision":2,' + b'"a":1,' * 300_000 + b'"b":1}\n'))
        elif hostile == "a-discovery-dense":
            connection.sendall(chunk(b'{"revision":2,"x":[' + b"1," * 1_000_000 + b"1]}\n"))
        elif hostile == "a-discovery-large":  # The most that is used.
            body = b",".join(b'{"id":"server-%d","host_port":"127.0.0.1:1","locality":"z","cell":0,"phase":"draining"}' % k
                             for k in range(16_000))
            connection.sendall(chunk(b'{"revision":2,"members":[' + body + b"]}\n"))
        elif hostile == "a-discovery-members":
            body = b",".join(b'{"id":"n%d","phase":"gone"}' % k for k in range(60_000))
            connection.sendall(chunk(b'{"revision":2,"members":[' + body + b"]}\n"))
        while hostile in ("c-clients", "c-clients-small", "c-at"):  # Requests wait while all endpoints drain.
            number += 1
            phase = "draining" if number % 2 else "ready"
            body = discovery_list(ports, number + 1).replace(b'"ready"', b'"%s"' % phase.encode())
            connection.sendall(chunk(body + b"\n"))
            time.sleep(1.2 if number % 2 else 0.3)
        while hostile.startswith("b-discovery") and time.monotonic() < end:
            if hostile == "b-discovery-ids":
                number += 1
                members = [{"id": "n%d" % number, "host_port": "127.0.0.1:1", "phase": "draining", "locality": "z%d" % number}]
                if number > 1:
                    members.append({"id": "n%d" % (number - 1), "phase": "gone"})
                connection.sendall(chunk(json.dumps({"revision": number + 1, "members": members}).encode() + b"\n"))
            elif hostile == "b-discovery-lines":
                connection.sendall(chunk(b"\n" * 4000))
            else:
                connection.sendall(chunk(b'{"revision":"?"}\n'))
        if hostile == "b-discovery-ids":
            print("changes told: %d" % number, flush=True)
        while True:
            connection.sendall(chunk(b"\n"))
            time.sleep(2)
    except OSError:
        pass
    finally:
        connection.close()


def run_discovery(listener, ports, hostile, seconds):
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve_watch, args=(connection, ports, hostile, seconds), daemon=True).start()


# ---- hostile clients ----

def connect(port):
    connection = socket.socket()
    connection.settimeout(2)
    connection.connect((HOST, port))
    return connection


def send_quietly(connection, data):
    try:
        connection.send(data)
        return True
    except OSError:
        return False


def crowd(port, count, seconds, first, then):
    """`count` connections at once; each sends `first`, then `then` byte by byte."""
    end, connections = time.monotonic() + seconds, []
    while time.monotonic() < end:
        while len(connections) < count:
            try:
                connections.append(connect(port))
                send_quietly(connections[-1], first(len(connections)))
            except OSError:
                break
        for connection in connections:
            if then:
                send_quietly(connection, then)
        alive = []
        for connection in connections:
            connection.setblocking(False)
            try:
                if connection.recv(4096):
                    alive.append(connection)
                else:
                    connection.close()
            except BlockingIOError:
                alive.append(connection)
            except OSError:
                connection.close()
        connections = alive
        time.sleep(0.05)


def flood(port, seconds, first, data):
    """One connection at a time, at full speed; a new one when it ends."""
    end, sent, number = time.monotonic() + seconds, 0, 0
    while time.monotonic() < end:
        number += 1
        try:
            connection = connect(port)
            threading.Thread(target=drain, args=(connection,), daemon=True).start()
            connection.sendall(first(number))
            while time.monotonic() < end:
                connection.sendall(data(number))
                sent += len(data(number))
        except OSError:
            pass
        connection.close()
    print("hostile: %d connections, %.1f MB" % (number, sent / 1e6), flush=True)


def drain(connection):
    try:
        while connection.recv(65536):
            pass
    except OSError:
        pass


def one_shot(port, seconds, request, awaits_answer=True):
    """A new connection for each request, at full speed."""
    end, number = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        number += 1
        try:
            connection = connect(port)
            connection.sendall(request(number))
            if awaits_answer:
                connection.recv(4096)
            connection.close()
        except OSError:
            pass
    print("hostile: %d requests" % number, flush=True)


def datagrams(port, seconds, make):
    sender, end, number = socket.socket(socket.AF_INET, socket.SOCK_DGRAM), time.monotonic() + seconds, 0
    while time.monotonic() < end:
        number += 1
        send_quietly_to(sender, make(number), port)
    print("hostile: %d datagrams" % number, flush=True)


def send_quietly_to(sender, data, port):
    try:
        sender.sendto(data, (HOST, port))
    except OSError:
        pass


def leave(port, seconds, queue, field, behind):
    """Clients that send a request with much behind it and close; the same id comes again later."""
    end, number = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        number += 1
        name = "left%d" % number
        connection = connect(port)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
        connection.setblocking(False)
        send_quietly(connection, b"OPEN %s k c=chat,d=3000%s\r\n" % (name.encode(), field) + b"M x\r\n" * (behind // 5))
        time.sleep(random.uniform(0, 0.02))
        connection.close()
        queue.put((time.monotonic(), name))
        time.sleep(0.02)


def again(port, seconds):
    """Clients that leave after their request was sent on, and come again with the same id."""
    end, number = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        number += 1
        for _ in range(4):
            connection = connect(port)
            send_quietly(connection, b"OPEN again%d k c=chat,d=3000\r\n" % number)
            time.sleep(0.01)
            connection.close()
    print("hostile: %d ids, each 4 times" % number, flush=True)


def many_fields(number):
    return (b"OPEN %d k c=chat,d=2000," % number + b"x=1," * 1000)[:4080] + b"y=1"


CASES = {
    "a-clients-slow": lambda p: crowd(p.clients, 900, p.seconds, lambda n: b"OPEN %d k c=ch" % n, b"x"),
    "a-clients-half": lambda p: crowd(p.clients, 900, p.seconds, lambda n: b"OPEN %d k " % n + b"c" * 4000, b""),
    "a-clients-fields": lambda p: crowd(p.clients, 900, p.seconds, lambda n: many_fields(n) + b"\r\n", b""),
    "a-clients-early": lambda p: crowd(
        p.clients, 900, p.seconds, lambda n: b"OPEN e%d k c=chat,d=3000\r\n" % n + b"M x\r\n" * 60_000, b"M x\r\n" * 1000),
    "a-at-early": lambda p: crowd(
        p.clients, 900, p.seconds, lambda n: b"OPEN e%d k c=chat,d=9000,at=none\r\n" % n + b"M x\r\n" * 60_000, b"M x\r\n"),
    "a-admin-slow": lambda p: crowd(p.admin, 400, p.seconds, lambda n: b"GET /v1/re", b"x"),
    "a-admin-half": lambda p: crowd(
        p.admin, 400, p.seconds, lambda n: b"POST /v1/x HTTP/1.1\r\nContent-Length: 16000\r\n\r\n" + b"x" * 9000, b""),
    "a-admin-fields": lambda p: crowd(
        p.admin, 400, p.seconds, lambda n: b"GET /v1/readyz HTTP/1.1\r\n" + b"a:b\r\n" * 100_000, b"a:b\r\n"),
    "b-clients-ping": lambda p: flood(p.clients, p.seconds, lambda n: b"", lambda n: b"PING\r\n" * 5000),
    "b-clients-ping-unread": lambda p: crowd(p.clients, 1, p.seconds, lambda n: b"PING\r\n" * 100_000, b"PING\r\n" * 5000),
    "b-clients-lines": lambda p: flood(
        p.clients, p.seconds, lambda n: b"OPEN f%d-%d k c=chat,d=2000\r\n" % (os.getpid(), n), lambda n: b"\n" * 30_000),
    "b-clients-bad": lambda p: one_shot(p.clients, p.seconds, lambda n: b"OPEN %d ? c\r\n" % n),
    "b-clients-bad-one": lambda p: flood(p.clients, p.seconds, lambda n: b"", lambda n: b"OPEN bad\r\n" * 3000),
    "b-clients-names": lambda p: one_shot(p.clients, p.seconds, lambda n: b"OPEN i%d k%d c=chat,d=2000,t=t%d,g=g%d\r\n" % (n, n, n, n)),
    "b-at-names": lambda p: one_shot(
        p.clients, p.seconds, lambda n: b"OPEN i%d k c=chat,d=2000,at=n%d\r\n" % (n, n), awaits_answer=False),
    "b-admin-requests": lambda p: one_shot(p.admin, p.seconds, lambda n: b"GET /v1/metrics HTTP/1.1\r\n\r\n"),
    "b-admin-bad": lambda p: one_shot(p.admin, p.seconds, lambda n: b"BAD%d\r\n\r\n" % n),
    "b-admin-one": lambda p: flood(p.admin, p.seconds, lambda n: b"", lambda n: b"GET /v1/metrics HTTP/1.1\r\n\r\n" * 500),
    "b-fleet-short": lambda p: datagrams(p.fleet, p.seconds, lambda n: b"x"),
    "b-fleet-long": lambda p: datagrams(p.fleet, p.seconds, lambda n: b"%d" % n * 200),
    "c-clients": lambda p: leave(p.clients, p.seconds, p.left, b"", 300_000),
    "c-clients-small": lambda p: leave(p.clients, p.seconds, p.left, b"", 20_000),
    "c-again": lambda p: again(p.clients, p.seconds),
    "c-again-upgrade": lambda p: again(p.clients, p.seconds),
    "c-at": lambda p: leave(p.clients, p.seconds, p.left, b",at=%s" % p.endpoint.encode(), 300_000),
}
CASES.update({name: None for name in ("none", "a-discovery-head", "a-discovery-half", "a-discovery-dense", "a-discovery-large", "a-discovery-fields", "a-discovery-members",
                                      "b-discovery-ids", "b-discovery-lines", "b-discovery-bad")})


# ---- well-behaved clients ----

class GoodClients(threading.Thread):
    """Connects every 20 ms, and measures the time to UP and to the answer to one line."""

    def __init__(self, port):
        super().__init__(daemon=True)
        self.port, self.times, self.failed, self.running, self.answers = port, [], 0, True, {}

    def run(self):
        number = 0
        while self.running:
            number += 1
            begin = time.monotonic()
            try:
                connection = connect(self.port)
                connection.sendall(b"OPEN good%d k c=chat,d=2000\r\n" % number)
                answer = connection.recv(4096)
                if not answer.startswith(b"UP"):
                    self.answers[answer] = self.answers.get(answer, 0) + 1
                    raise OSError(answer)
                connection.sendall(b"M %d\r\n" % number)
                if not connection.recv(4096).startswith(b"M"):
                    raise OSError("no echo")
                self.times.append(time.monotonic() - begin)
            except OSError:
                self.failed += 1
            connection.close()
            time.sleep(0.02)


def write_configuration(folder, ports, options):
    settings = {
        "balancers": 1, "zone": 0, "azs": ["here"], "discovery": "subscribe",
        "classes": [{"name": "chat", "effect": options.effect, "group": "all", "target": 800000,
                     "hardLimit": 3200000, "repeatWindow": 5000000, "stream": True, "worth": 1.0}],
        "familyInfo": {"messageAim": [250000]},
        "stats": {"how": "on_probe", "fields": ["outstanding", "errors_per_s", "x0"]},
        "limits": {"probes": True, "cancel": True, "sendCap": 5, "connectTimeout": 250000,
                   "idleClose": 10000000, "retryAfter": True, "maxRetryAfter": 2000000},
        "invariants": {"answerSlack": 8000, "askWithin": 10000000, "cold": 9000000, "coldFrom": 0.32,
                       "fall": 1000000, "fallMultiple": 3.0, "stopSendingWithin": 250000},
    }
    config = {"name": "n0", "listen": "%s:%d" % (HOST, ports["clients"]), "management": "%s:%d" % (HOST, ports["admin"]),
              "discovery": "%s:%d" % (HOST, ports["discovery"]), "seed": "7",
              "limits": {"cores": 1.0, "memory_mb": options.memory_mb, "sockets": options.sockets},
              "known": {"revision": 0, "complete": True, "members": []}, "settings": settings}
    path = os.path.join(folder, "config.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(config, file)
    operator = os.path.join(folder, "operator.txtpb")
    with open(operator, "w", encoding="utf-8") as file:
        file.write(options.operator.replace("FLEET_PORT", str(ports["fleet"])))
    return path, operator


def free_ports(names):
    sockets = {name: listen() for name in names}
    ports = {name: used.getsockname()[1] for name, used in sockets.items()}
    for used in sockets.values():
        used.close()
    return ports


def resident_kib(pid):
    with open("/proc/%d/status" % pid, encoding="utf-8") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1])
    return 0


def start_relay(options, environment):
    limit = (options.sockets, options.sockets)
    return subprocess.Popen([options.relay], env=environment, stdout=subprocess.DEVNULL, pass_fds=[ACCEPT_FD] if
                            "PROXY_ACCEPT_FD" in environment else [],
                            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limit))


def spawn(target, *arguments):
    process = multiprocessing.Process(target=target, args=arguments, daemon=True)
    process.start()
    return process


OPERATOR_FLEET = """fleet { name: "f" listen: "127.0.0.1:FLEET_PORT" peers { name: "n1" address: "127.0.0.1:1" } }
"""


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("case", nargs="?", default="none")
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--relay", default="build/stoatrun")
    parser.add_argument("--memory-mb", type=int, default=32)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--effect", default="idempotent")
    parser.add_argument("--operator", default="", help="text of an operator file; FLEET_PORT is replaced")
    parser.add_argument("--answer", default="", help="the endpoint's first answer")
    options = parser.parse_args()
    if options.list:
        print("\n".join(CASES))
        return 0
    folder = tempfile.mkdtemp()
    ports = free_ports(["clients", "admin", "discovery", "fleet", "successor"])
    ran, left = multiprocessing.Queue(), multiprocessing.Queue()
    answer = options.answer or ("BUSY" if options.case in ("c-clients", "c-clients-small", "c-at") else "UP r1")
    endpoint_listeners = [listen() for _ in range(4)]
    endpoint_ports = [used.getsockname()[1] for used in endpoint_listeners]
    helpers = [spawn(Endpoint(used, ran, answer).run) for used in endpoint_listeners]
    helpers.append(spawn(run_discovery, listen(ports["discovery"]), endpoint_ports, options.case, options.seconds))
    config, operator = write_configuration(folder, ports, options)
    environment = {**os.environ, "PROXY_CONFIG": config, "TMPDIR": folder, "STOATRUN_LOG": "error"}
    if options.operator:
        environment["STOATRUN_OPERATOR"] = operator
    successor = None
    if options.case.endswith("upgrade"):
        inherited = listen(ports["clients"])
        os.dup2(inherited.fileno(), ACCEPT_FD, inheritable=True)
        environment["PROXY_ACCEPT_FD"] = str(ACCEPT_FD)
    relay = start_relay(options, environment)
    time.sleep(1)
    if options.case.endswith("upgrade"):
        successor = start_relay(options, {**environment, "PROXY_MANAGEMENT": "%s:%d" % (HOST, ports["successor"])})
        time.sleep(1)
    good = GoodClients(ports["clients"])
    if not options.case.startswith("c-"):
        good.start()
    options.clients, options.admin, options.fleet = ports["clients"], ports["admin"], ports["fleet"]
    options.left, options.endpoint = left, "s-%d" % endpoint_ports[0]
    before, peak, killed, cpu = resident_kib(relay.pid), 0, False, 0.0
    if CASES[options.case]:
        helpers.append(spawn(CASES[options.case], options))
    end = time.monotonic() + options.seconds + (3.5 if options.case.startswith("c-") else 1)
    while time.monotonic() < end and relay.poll() is None:
        peak = max(peak, resident_kib(relay.pid))
        if peak > options.memory_mb * 1024:
            killed = True
            relay.kill()
            break
        time.sleep(0.02)
    good.running = False
    if good.is_alive():
        good.join(3)  # The last answer must not be lost to the end of the run.
    died = relay.poll() is not None
    if not died:
        with open("/proc/%d/stat" % relay.pid, encoding="utf-8") as stat:
            fields = stat.read().split()
            cpu = (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")
        relay.send_signal(signal.SIGKILL)
    relay.wait()
    if successor:
        successor.kill()
        successor.wait()
    late, twice = forwarded_late(ran, left)
    for helper in helpers:
        helper.kill()
    times = sorted(good.times)
    print("%s: memory %.1f MB before, %.1f MB peak of %d%s; cpu %.1f s; good clients: %d answered, %d failed, "
          "median %.1f ms, slowest %.1f ms; forwarded %.2f s after leaving: %d, ran twice: %d" % (
              options.case, before / 1024, peak / 1024, options.memory_mb, " KILLED" if killed else " DIED" if died else "",
              cpu, len(times), good.failed, 1000 * times[len(times) // 2] if times else 0, 1000 * times[-1] if times else 0,
              FORWARD_AFTER_LEAVING_S, late, twice))
    if good.answers:
        words = [word.split(b" ")[0].strip() for word in good.answers for _ in range(good.answers[word])]
        print("  other answers: %s" % {word: words.count(word) for word in set(words)})
    return 1 if killed or died or late or twice else 0


def forwarded_late(ran, left):
    left_at, seen, late, twice = {}, {}, 0, 0
    while not left.empty():
        at, name = left.get()
        left_at[name] = at
    while not ran.empty():
        at, name = ran.get()
        seen[name] = seen.get(name, 0) + 1
        if name in left_at and at > left_at[name] + FORWARD_AFTER_LEAVING_S:
            late += 1
    twice = sum(1 for name, count in seen.items() if count > 1 and name not in left_at)
    return late, twice


if __name__ == "__main__":
    sys.exit(main())
