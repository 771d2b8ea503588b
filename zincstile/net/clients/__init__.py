"""Client connections over RESP: the listening socket, commands and answers.

`listener` accepts connections and closes idle ones, `connection` reads commands and writes answers,
`answer_queue` keeps the answers in the order of the commands, `closer` closes a connection without losing an
answer, `eviction` chooses which connection to close when a descriptor is needed, `call_reader` validates a
command.
"""
