"""Admission control for the upstream beside a node."""
