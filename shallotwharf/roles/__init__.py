"""Processes: wiring of components and adapters."""
