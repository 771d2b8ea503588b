"""Reads typed records from YAML and JSON files, writes them as JSON, and frames messages in datagrams."""
