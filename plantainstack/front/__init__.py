"""The HTTP front for callers, trainers and operators."""
