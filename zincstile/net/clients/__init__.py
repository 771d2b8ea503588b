"""The clients' side of the gateway in RESP: the listening socket, one connection each, commands and answers.

`listener` accepts connections and closes idle ones, `connection` reads commands and writes answers,
`answer_queue` keeps the answers in the order of the commands, `closer` ends a connection without losing an
answer, `eviction` chooses the connection that makes room, `call_reader` checks a command.
"""
