"""Limits on the calls of tenants, over all nodes."""
