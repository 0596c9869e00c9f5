"""Benchmark of the policies by discrete-event simulation."""
