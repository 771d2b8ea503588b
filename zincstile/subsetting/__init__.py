"""Deterministic subsetting: which endpoints of each service one gateway uses. No I/O, no clock."""
