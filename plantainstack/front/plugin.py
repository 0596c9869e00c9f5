"""The plug-in `front`: HTTP servers for callers, trainers and operators."""

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.routing import Route

from plantainstack.front import callers, health, operators, trainers
from plantainstack.front.answers import no_route
from plantainstack.front.middleware import RequestMiddleware, TokenRegistry
from plantainstack.front.server import FrontServer
from plantainstack.plugins import Plugin

# Time for the load balancer to notice that `/readyz` fails before connections are
# closed.
DRAIN_NOTICE_S = 2.0


class Front(Plugin):
    """Listen on the instance's addresses and shut them down gracefully."""

    name = "front"
    requires = ("dispatch", "bookings", "peers", "membership")

    def __init__(self, kernel):
        super().__init__(kernel)
        self.notice_s = DRAIN_NOTICE_S
        self.middleware: RequestMiddleware | None = None
        self.server: FrontServer | None = None
        self.operator_server: FrontServer | None = None

    async def start(self, tasks) -> None:
        """Start the servers for the public and the operators' address."""
        kernel = self.kernel
        operators.register_queries(kernel)
        tokens = TokenRegistry(kernel.settings.tokens())
        public = [
            *health.routes(kernel),
            *trainers.routes(kernel),
            *callers.routes(kernel),
        ]
        self.middleware = RequestMiddleware(_application(public), kernel, tokens)
        private = _application(operators.routes(kernel))
        operator_middleware = RequestMiddleware(
            private, kernel, tokens, operators_only=True
        )
        options = kernel.settings.instance
        self.server = FrontServer(
            self.middleware, options.listen, budget=kernel.client_budget
        )
        self.operator_server = FrontServer(operator_middleware, options.operator_listen)
        for server in (self.server, self.operator_server):
            tasks.required.start_soon(server.run_until_closed)

    async def drain(self, deadline: float) -> None:
        """Wait for running requests; new ones get the error `draining`."""
        notice = self.kernel.clock.now() + self.notice_s
        await self.kernel.clock.sleep_until(min(deadline, notice))
        await self.middleware.wait_idle(deadline)

    async def stop(self) -> None:
        """Close both servers."""
        await self.server.close()
        await self.operator_server.close()


def _application(routes: list[Route]) -> Starlette:
    app = Starlette(routes=routes, exception_handlers={HTTPException: no_route})
    app.router.redirect_slashes = False
    return app
