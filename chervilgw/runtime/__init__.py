"""Tasks that own sockets and time: HTTP server, HTTP client, peer links, clock."""
