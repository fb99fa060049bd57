"""Translate between messages and the protocols of the outside."""
