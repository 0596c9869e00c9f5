"""Interfaces to the platform and their HTTP adapters."""
