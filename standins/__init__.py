"""Stand-ins for the platform, for development and tests."""
