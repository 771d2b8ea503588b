"""The gateway's network: sockets, clocks and files, none of which decides anything.

What clients ask becomes sessions and requests (`clients`), which the `dispatcher` hands to the policy in
batches; the policy's actions are attempts at backend servers, answers, and messages to peers. Only `clients`,
the backends' side and `resp` know RESP: a second protocol needs a package beside `clients` and nothing else.
"""
