"""Translate between messages and network protocols."""
