"""Aggregates with their own rules, one package a component."""
