"""Measurements as command-line programs that print their results."""
