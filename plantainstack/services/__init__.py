"""Plug-ins that join policies to I/O."""
