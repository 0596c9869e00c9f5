"""Tests of the stand-ins for platform services."""
