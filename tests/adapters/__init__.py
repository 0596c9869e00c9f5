"""Tests of the HTTP adapters to the platform's services."""
