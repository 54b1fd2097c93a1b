"""Admission to the upstream beside a node."""
