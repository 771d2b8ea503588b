"""Operators' state, pure: the HTTP/1.1 requests of operators, the state they change, and its hand-over file.

No module here does I/O or reads a clock; `net/admin_endpoint` and `net/handover_file` do both.
"""
