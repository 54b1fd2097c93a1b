"""Moves of a pool from one version of a service to another."""
