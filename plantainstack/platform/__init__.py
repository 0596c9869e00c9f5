"""Adapter to the platform: names, formats and requests, without any policy."""
