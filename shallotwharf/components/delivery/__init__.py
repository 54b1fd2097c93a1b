"""Delivery of versions from control through relays to nodes."""
