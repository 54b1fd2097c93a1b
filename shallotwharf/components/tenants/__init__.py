"""Tenants and their keys."""
