"""Stand-ins: fake platform services for development and tests."""
