"""A simulated server whose answers are as long as their paths say, and whose streams do not end."""

from __future__ import annotations

from aiohttp import web

from rig.system.model_server import ModelServer

ANSWER_PATH = "/answer/"  # followed by the number of bytes
STREAM_PATH = "/stream/"  # an event stream that goes on until its client closes it
STREAM_EVENT_BYTES = 16 * 1024


class SizedServer(ModelServer):
    """A model server that also serves `ANSWER_PATH` and `STREAM_PATH`."""

    async def _stream(self, request: web.Request, request_id: str) -> web.StreamResponse:
        if request.path.startswith(ANSWER_PATH):
            size_bytes = int(request.path.removeprefix(ANSWER_PATH))
            return web.Response(body=b"a" * size_bytes, headers=self._headers(request_id))
        if request.path.startswith(STREAM_PATH):
            return await self._stream_endlessly(request, request_id)
        return await super()._stream(request, request_id)

    async def _stream_endlessly(self, request: web.Request, request_id: str) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._headers(request_id))
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        number = 0
        while True:
            number += 1
            await response.write(f"id: {number}\ndata: {'x' * STREAM_EVENT_BYTES}\n\n".encode())
