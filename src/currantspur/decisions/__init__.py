"""Decide without clock, socket, task or codec: time comes in as a number."""
