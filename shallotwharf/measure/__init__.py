"""Seeded measurements of policies on a manual clock."""
