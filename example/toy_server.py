#!/usr/bin/env python3
"""A toy upstream server and the discovery service that lists it, to try stoatrun with.

Listens on loopback only; Ctrl-C ends it.
"""

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
open_connections = 0


async def serve(reader, writer):
    """Serves one connection: answers health checks, accepts a client and echoes its lines."""
    global open_connections
    established = False
    try:
        while line := await reader.readline():
            command = line.split(b" ")[0].strip()
            if established:
                writer.write(line)
            elif command == b"OPEN":
                established = True
                open_connections += 1
                writer.write(b"UP toy-%d\r\n" % open_connections)
            elif command == b"STATS":
                writer.write(b"PONG inflight=%d,eps=0,x0=%.2f\r\n" % (open_connections, open_connections / 20))
            elif command == b"PING":
                writer.write(b"PONG\r\n")
            else:
                writer.write(b"SYNTAX\r\n")
            await writer.drain()
        if established:
            writer.write(b"BYE\r\n")
            await writer.drain()
    except ConnectionError:
        pass
    finally:
        open_connections -= established
        writer.close()


async def discover(reader, writer):
    """Serves the endpoint list on a watch that stays open, with an empty line every 2 s as a keepalive."""
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
