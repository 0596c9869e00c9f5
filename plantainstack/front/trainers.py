"""Routes for trainers."""

from starlette.routing import Route


def routes(kernel) -> list[Route]:
    """Return the routes, none so far."""
    return []
