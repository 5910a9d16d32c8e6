#!/usr/bin/env python3
"""A toy sync server with the discovery that names it, to try stoatrun with. Loopback only; Ctrl-C ends it."""

import asyncio
import json

SERVER = ("127.0.0.1", 8100)
DISCOVERY = ("127.0.0.1", 8500)
MEMBERS = {
    "revision": 1,
    "complete": True,
    "members": [
        {"id": "s-toy", "host_port": "%s:%d" % SERVER, "locality": "here", "flavor": "toy", "cell": 0,
         "phase": "ready", "size": 1.0, "up_since_ms": 0}
    ],
}
held = 0


async def serve(reader, writer):
    """One connection: probes are answered, a client is brought up and its lines are sent back."""
    global held
    up = False
    try:
        while line := await reader.readline():
            word = line.split(b" ")[0].strip()
            if up:
                writer.write(line)
            elif word == b"OPEN":
                up = True
                held += 1
                writer.write(b"UP toy-%d\r\n" % held)
            elif word == b"STATS":
                writer.write(b"PONG inflight=%d,eps=0,x0=%.2f\r\n" % (held, held / 20))
            elif word == b"PING":
                writer.write(b"PONG\r\n")
            else:
                writer.write(b"SYNTAX\r\n")
            await writer.drain()
        if up:
            writer.write(b"BYE\r\n")
            await writer.drain()
    except ConnectionError:
        pass
    finally:
        held -= up
        writer.close()


async def discover(reader, writer):
    """The list on a watch that stays open, with an empty line every 2 s."""
    try:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        text = json.dumps(MEMBERS).encode() + b"\n"
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            await asyncio.sleep(2)
            text = b"\n"
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    await asyncio.start_server(discover, *DISCOVERY)
    server = await asyncio.start_server(serve, *SERVER)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        pass
