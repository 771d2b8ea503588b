"""Typed records from and to files and datagrams: YAML, JSON, framed messages."""
