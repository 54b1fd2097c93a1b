"""Measurements; each module runs on its own and prints its figures."""
