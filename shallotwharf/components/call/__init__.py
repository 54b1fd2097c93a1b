"""Routing, attempts and retries of one call."""
