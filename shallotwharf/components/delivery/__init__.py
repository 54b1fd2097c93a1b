"""Delivery of versions from control to the nodes, directly or over relays."""
