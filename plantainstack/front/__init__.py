"""The HTTP servers for callers, trainers and operators."""
