"""Ordering of endpoints at the platform, by one instance at a time."""
