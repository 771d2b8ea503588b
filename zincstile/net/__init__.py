"""The gateway's network: one module a concern, none of which decides anything.

Only `frontend`, `backend` and `resp` know RESP; the rest speaks of sessions, calls and answers, so that a
second protocol needs a frontend of its own and nothing else.
"""
