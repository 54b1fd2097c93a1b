"""The two tables, their versions and the differences between versions."""
