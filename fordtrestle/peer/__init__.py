"""Transport between the processes of one deployment: a protocol without I/O under a thin asyncio driver."""
