"""HTTP API for trainers."""

import io
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
from result import Err, Ok, Result
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route

from plantainstack.decoding import UNDECODABLE
from plantainstack.errors import ErrorKind, Failure
from plantainstack.front.answers import error_response
from plantainstack.front.bodies import receiving
from plantainstack.policy.samples import StepRecord
from plantainstack.services.step_dependencies import OpenRequest
from plantainstack.services.step_service import StepService
from plantainstack.settings.fleet import Scope

if TYPE_CHECKING:
    from plantainstack.kernel import Kernel

BODY_MAX_BYTES = 64 * 1024**2
SAMPLES_MAX = 65_536
DEFAULT_MAX_TOKENS = 1024

StepId = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


class Message(msgspec.Struct, forbid_unknown_fields=True):
    """A chat message of a prompt."""

    role: str
    content: str


class Group(msgspec.Struct, forbid_unknown_fields=True):
    """The prompt of a sample group, as text or as chat messages."""

    prompt: str | list[Message]

    def messages(self) -> list[dict[str, str]]:
        """Return the prompt as chat messages."""
        if isinstance(self.prompt, str):
            return [{"role": "user", "content": self.prompt}]
        return msgspec.to_builtins(self.prompt)


class OpenBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body that opens a step; `deadline` is a Unix time in milliseconds."""

    step: StepId
    model: str
    policy_version: int
    groups: list[Group]
    samples_per_group: int
    version_bound: int | None = None
    max_tokens: int = DEFAULT_MAX_TOKENS
    deadline: int | None = None


def routes(kernel: "Kernel") -> list[Route]:
    """Return the routes of the trainers' API."""
    api = TrainerApi(kernel)
    base = "/v1/trainers/{trainer}/steps"
    return [
        Route(base, api.open, methods=["POST"]),
        Route(f"{base}/{{step}}", api.status, methods=["GET"]),
        Route(f"{base}/{{step}}/samples", api.samples, methods=["GET"]),
        Route(f"{base}/{{step}}/ack", api.ack, methods=["POST"]),
    ]


class TrainerApi:
    """Validate trainers' requests and pass them to the plug-in `steps`."""

    def __init__(self, kernel: "Kernel"):
        self._kernel = kernel

    async def open(self, request: Request) -> Response:
        """Open a step."""

        async def run(trainer: str) -> Result[Any, Failure]:
            read = await _body(request)
            checked = read.and_then(lambda data: self._validate(trainer, data))
            if checked.is_err():
                return checked
            return (await self._steps().open(trainer, checked.unwrap())).map(
                _step_content
            )

        return await self._answer(request, run)

    async def status(self, request: Request) -> Response:
        """Return the state of a step."""

        async def run(trainer: str) -> Result[Any, Failure]:
            step = request.path_params["step"]
            return (await self._steps().status(trainer, step)).map(_step_content)

        return await self._answer(request, run)

    async def samples(self, request: Request) -> Response:
        """Return the samples of a sealed step."""

        async def run(trainer: str) -> Result[Any, Failure]:
            step = request.path_params["step"]
            found = await self._steps().samples(trainer, step)
            return found.map(lambda samples: {"step": step, "samples": samples})

        return await self._answer(request, run)

    async def ack(self, request: Request) -> Response:
        """Acknowledge the samples of a step, which ends it."""

        async def run(trainer: str) -> Result[Any, Failure]:
            step = request.path_params["step"]
            return (await self._steps().ack(trainer, step)).map(_step_content)

        return await self._answer(request, run)

    def _steps(self) -> StepService:
        return self._kernel.plugin("steps").step_service

    async def _answer(
        self,
        request: Request,
        run: Callable[[str], Awaitable[Result[Any, Failure]]],
    ) -> Response:
        # The middleware has checked that the token belongs to the trainer in the path.
        try:
            result = await run(request.path_params["trainer"])
        except ClientDisconnect:
            failure = Failure.of(
                ErrorKind.BAD_REQUEST,
                "the client disconnected before the request was complete",
            )
            result = Err(failure)
        if result.is_err():
            return error_response(result.unwrap_err())
        data = msgspec.json.encode(result.unwrap())
        return Response(data, media_type="application/json")

    def _validate(self, trainer: str, data: bytes) -> Result[OpenRequest, Failure]:
        try:
            body = msgspec.json.decode(data, type=OpenBody)
        except UNDECODABLE as exc:
            return _bad_request(str(exc))
        count = len(body.groups) * body.samples_per_group
        if body.samples_per_group < 1 or not 1 <= count <= SAMPLES_MAX:
            return _bad_request(f"a step must have 1 to {SAMPLES_MAX} samples")
        if body.max_tokens < 1 or body.policy_version < 0:
            return _bad_request(
                "max_tokens must be at least 1 and policy_version at least 0"
            )
        if body.version_bound is not None and body.version_bound < 0:
            return _bad_request("version_bound must not be negative")
        return Ok(self._open_request(trainer, body))

    def _open_request(self, trainer: str, body: OpenBody) -> OpenRequest:
        scope = Scope(service=body.model, trainer=trainer)
        options = self._kernel.config.scoped(scope)
        # The configured values are upper limits: a trainer can only make them stricter.
        bound = options.version_bound
        if body.version_bound is not None:
            bound = min(bound, body.version_bound)
        deadline = self._kernel.clock.wall() + options.step_timeout
        if body.deadline is not None:
            deadline = min(deadline, body.deadline / 1000)
        return OpenRequest(
            step=body.step,
            model=body.model,
            policy_version=body.policy_version,
            version_bound=bound,
            prompts=[group.messages() for group in body.groups],
            samples_per_group=body.samples_per_group,
            max_tokens=body.max_tokens,
            deadline=deadline,
        )


async def _body(request: Request) -> Result[bytes, Failure]:
    held = request.state.body_memory
    buffer = io.BytesIO()
    with receiving(held):
        async for chunk in request.stream():
            buffer.write(chunk)
            if buffer.tell() > BODY_MAX_BYTES:
                message = f"the body is larger than {BODY_MAX_BYTES} bytes"
                return Err(Failure.of(ErrorKind.BODY_TOO_LARGE, message))
            if not held.grow_to(buffer.tell()):
                return Err(held.refusal())
    return Err(held.refusal()) if held.is_given_up else Ok(buffer.getvalue())


def _bad_request(message: str) -> Err[Failure]:
    return Err(Failure.of(ErrorKind.BAD_REQUEST, message))


def _step_content(record: StepRecord) -> dict[str, Any]:
    return {
        "step": record.step,
        "state": record.state,
        "model": record.model,
        "policy_version": record.policy_version,
        "version_bound": record.version_bound,
        "samples": record.groups * record.samples_per_group,
        "deadline": int(record.deadline * 1000),
    }
