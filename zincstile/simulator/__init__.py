"""Adapter to the operators' simulator: its frame codec, and a program that speaks it on stdin and stdout."""
