"""The benchmark of the decision code."""
