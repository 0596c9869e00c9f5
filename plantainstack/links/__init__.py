"""Connections to endpoints and to peers."""
