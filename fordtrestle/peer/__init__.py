"""Transport between the processes of one deployment."""
