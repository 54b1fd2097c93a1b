"""Stand-ins for the platform, its operator, its consumers and its targets."""
