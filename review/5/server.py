"""A model server as a process of its own: its streams have no length and end with their connection.

It says "half" on standard output each time that it has written the first half of the event that it is told.
"""

from __future__ import annotations

import asyncio
import sys

from stage2 import MAX_HEAD_BYTES, read_head

EVENTS = 20
EVENT_INTERVAL_S = 0.05
HALF_S = 0.3  # between the two halves of the event that it is told


def event_of(number: int) -> bytes:
    """Return an event of the stream, the same at each server."""
    return f"id: {number}\ndata: token-{number} token token token\n\n".encode()


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, instance: str, half: int) -> None:
    """Serve one request: its stream from the beginning, or from behind `Last-Event-Id`."""
    _, headers = await read_head(reader)
    await reader.readexactly(int(headers.get("content-length", "0")))
    request_id = headers.get("x-request-id", "")
    stamp = f"X-Request-Id: {request_id}\r\nX-Response-Stamp: {instance}.{request_id}\r\nVersions: 1\r\n"
    if headers.get("x-expect-instance", instance) != instance:
        writer.write(
            f"HTTP/1.1 421 Misdirected\r\n{stamp}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
        )
        writer.close()
        return
    writer.write(f"HTTP/1.1 200 OK\r\n{stamp}Content-Type: text/event-stream\r\n\r\n".encode())
    for number in range(int(headers.get("last-event-id") or -1) + 1, EVENTS):
        event = event_of(number)
        middle = len(event) // 2
        writer.write(event[:middle])
        await writer.drain()
        if number == half:
            print("half", flush=True)
            await asyncio.sleep(HALF_S)
        writer.write(event[middle:])
        await writer.drain()
        await asyncio.sleep(EVENT_INTERVAL_S)
    writer.close()


async def main(host: str, port: int, instance: str, half: int) -> None:
    """Serve until the process is killed."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await serve(reader, writer, instance, half)
        except (OSError, EOFError):
            writer.transport.abort()

    server = await asyncio.start_server(on_connection, host, port, limit=MAX_HEAD_BYTES)
    print("ready", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), sys.argv[3], int(sys.argv[4])))
