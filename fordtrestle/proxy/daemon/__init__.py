"""Assembly of one process: its services and HTTP servers, its signals and its graceful shutdown."""
