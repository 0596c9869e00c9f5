"""Duties that one instance at a time performs."""
