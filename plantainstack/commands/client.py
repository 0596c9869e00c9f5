"""HTTP client and helpers that the commands share."""

import json
import sys
from enum import IntEnum
from pathlib import Path
from typing import Any, NamedTuple, NoReturn

import click
import httpcore

REQUEST_TIMEOUT_S = 10.0
_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class ExitCode(IntEnum):
    """Exit codes of the command-line client."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4


EXIT_CODES_HELP = (
    "Exit codes: 0 success; 1 the instance refused the request or an alert is "
    "active; 2 wrong usage or a faulty file; 3 another change came first; "
    "4 no instance could be reached."
)


class Answer(NamedTuple):
    """Status and JSON body of an instance's answer."""

    status: int
    body: dict[str, Any]


def _is_of_instance(status: int) -> bool:
    """Return whether a status is one of a success or an error of an instance."""
    return 200 <= status < 300 or 400 <= status < 600


class OperatorClient(NamedTuple):
    """Send requests to the operators' API of one instance; no token if it is empty."""

    server: str
    token: str
    as_json: bool

    def request(self, method: str, path: str, body: dict | None = None) -> Answer:
        """Send a request; exit the process if it fails."""
        answer = self.request_any(method, path, body)
        if answer.status >= 400:
            self.fail(answer)
        return answer

    def request_any(self, method: str, path: str, body: dict | None = None) -> Answer:
        """Send a request and return any answer; exit the process without one."""
        content = None if body is None else json.dumps(body).encode()
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        timeout = dict.fromkeys(("connect", "read", "write"), REQUEST_TIMEOUT_S)
        url = f"http://{self.server}{path}"
        try:
            response = httpcore.request(
                method,
                url,
                headers=headers,
                content=content,
                extensions={"timeout": timeout},
            )
        except _TRANSPORT_ERRORS as exc:
            click.echo(f"{self.server}: no answer: {exc!r}", err=True)
            sys.exit(ExitCode.UNREACHABLE)
        if not _is_of_instance(response.status):
            message = f"the answer has the unexpected status {response.status}"
            click.echo(f"{self.server}: {message}", err=True)
            sys.exit(ExitCode.UNREACHABLE)
        return Answer(response.status, _decode(response.content))

    def fail(self, answer: Answer) -> NoReturn:
        """Print an error answer and exit the process."""
        error = answer.body.get("error", {})
        kind = error.get("kind", f"status {answer.status}")
        click.echo(f"{kind}: {error.get('message', '')}", err=True)
        sys.exit(ExitCode.CONFLICT if kind == "conflict" else ExitCode.FAILED)

    def show(self, data: Any, text: str) -> None:
        """Print `data` as JSON if --json is set, otherwise `text`."""
        click.echo(json.dumps(data, indent=2) if self.as_json else text)


def read_token(path: Path | None) -> str:
    """Read the operator's token from a file."""
    if path is None:
        raise click.UsageError("a token is needed: --token-file FILE")
    return path.read_text().strip()


def table(headings: tuple[str, ...], rows: list[tuple]) -> str:
    """Format rows in aligned columns."""
    cells = [headings, *[tuple(str(cell) for cell in row) for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headings))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def _decode(content: bytes) -> dict[str, Any]:
    try:
        return json.loads(content)
    except ValueError:
        return {"error": {"message": "the answer is not JSON"}}
