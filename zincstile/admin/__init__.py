"""Operator state: parsing of admin HTTP/1.1 requests, the state they change, and the hand-over file format.

No module here does I/O or reads a clock; `net/admin_endpoint` and `net/handover_file` do both.
"""
