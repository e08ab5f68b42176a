"""Transport between the processes of a deployment: a sans-I/O protocol, driven by a thin asyncio layer."""
