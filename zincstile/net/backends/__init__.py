"""The backend side of the gateway, in RESP2: listed backends, connections to them, and attempts.

A connection carries one attempt at a time. An attempt is abandoned by closing its connection, which affects
no other request. Whether a request may have run is derived from whether its last byte was written, and from
the reply.
"""
