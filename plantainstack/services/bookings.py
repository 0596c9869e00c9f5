"""Keyed calls; refused until claims are in place."""

from result import Err, Result

from plantainstack.errors import ErrorKind, Failure
from plantainstack.plugins import Plugin
from plantainstack.services.dispatch import Answered


class Bookings(Plugin):
    """Refuse keyed calls."""

    name = "bookings"
    requires = ("dispatch",)

    async def call(self, ctx, req, log) -> Result[Answered, Failure]:
        """Refuse the call."""
        message = "claims are not available"
        return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, message))
