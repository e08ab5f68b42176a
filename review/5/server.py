"""A model server as a process of its own: one of its streams has no length and ends with its connection.

It says "half" on standard output each time that it has written the first half of the event that it is told.
"""

from __future__ import annotations

import asyncio
import sys

from stage2 import MAX_HEAD_BYTES, read_head

served: list[str] = []  # the requests that this process has begun to serve
EVENTS = 20
EVENT_INTERVAL_S = 0.05
UNFRAMED = 34  # the number of the request whose answer has no length: one of 34, under 3 in 100
HALF_S = 0.3  # between the two halves of the event that it is told


def event_of(number: int) -> bytes:
    """Return an event of the stream, the same at each server."""
    return f"id: {number}\ndata: token-{number} token token token\n\n".encode()


def chunk(data: bytes) -> bytes:
    """Return data as a chunk of a body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


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
    served.append(request_id)
    is_framed = half < 0 or len(served) != UNFRAMED
    framing = "Transfer-Encoding: chunked\r\n" if is_framed else ""
    writer.write(f"HTTP/1.1 200 OK\r\n{stamp}Content-Type: text/event-stream\r\n{framing}\r\n".encode())
    for number in range(int(headers.get("last-event-id") or -1) + 1, EVENTS):
        event = event_of(number)
        if is_framed:
            writer.write(chunk(event))
        else:
            await write_in_halves(writer, event, number == half)
        await writer.drain()
        await asyncio.sleep(EVENT_INTERVAL_S)
    if is_framed:
        writer.write(b"0\r\n\r\n")
    writer.close()


async def write_in_halves(writer: asyncio.StreamWriter, event: bytes, is_told: bool) -> None:
    """Write an event in two parts; say so between them if this is the event."""
    middle = len(event) // 2
    writer.write(event[:middle])
    await writer.drain()
    if is_told:
        print("half", flush=True)
        await asyncio.sleep(HALF_S)
    writer.write(event[middle:])


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
