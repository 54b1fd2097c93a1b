"""Membership of a data centre and the upstreams announced in it."""
