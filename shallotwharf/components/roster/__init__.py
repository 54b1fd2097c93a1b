"""Roster of the control processes, for all processes that use control."""
