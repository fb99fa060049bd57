"""Measure the project: python -m bench."""
