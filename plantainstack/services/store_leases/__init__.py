"""Leases in the metadata store that let one instance at a time act."""
