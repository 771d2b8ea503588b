"""The gateway's network code: sockets, clocks and files. The decisions are in `decisions`.

`clients` turns commands into sessions and requests, which the `dispatcher` passes to the policy in batches;
the policy's actions are attempts at backend servers, answers, and messages to peers. Only `clients`,
`backends` and `resp` know RESP: a second client protocol needs another package like `clients` and nothing
else.
"""
