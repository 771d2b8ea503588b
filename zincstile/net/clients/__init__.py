"""The clients' side of the gateway in RESP: listener, connections, commands and answers."""
