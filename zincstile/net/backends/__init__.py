"""The backends' side of the gateway in RESP2: listed backends, their connections, and the attempts on them.

An attempt has its connection to itself and is given up by closing it, so that no other request is hurt. What
has run and what never did follows from whether the last byte of the request was written, and from what came
back.
"""
