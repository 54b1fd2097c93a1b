"""The control role: accepts and stores the versions of the tables."""
