"""Processes: components wired to adapters."""
