"""A rollout service that serves live callers and trainers from the same engines."""

__version__ = "0.1.0.dev0"
