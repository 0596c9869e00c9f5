"""Write docs/reference.md from the declared options and the table of errors."""

import sys
from pathlib import Path

import click

from plantainstack.errors import ERROR_TABLE
from plantainstack.settings.fleet import OPTIONS
from plantainstack.settings.instance import SECTIONS
from plantainstack.settings.options import Option

PAGE = Path(__file__).parent.parent / "docs" / "reference.md"
PREFACE = """# Reference

Written by `make reference` from the code.
"""


def render() -> str:
    """Return the page as Markdown."""
    parts = [PREFACE, "## Settings of an instance\n"]
    for section, kind in SECTIONS.items():
        parts.append(f"### `[{section}]`\n")
        parts.append(_option_table(kind.declared()))
    parts.append("## Options of the fleet\n")
    parts.append("Each can be set in the defaults or in an exception.\n")
    parts.append(_option_table(OPTIONS))
    parts.append("## Error kinds\n")
    parts.append("| kind | HTTP status | retry | outcome |\n|---|---|---|---|")
    for kind, answer in ERROR_TABLE.items():
        parts.append(
            f"| `{kind}` | {answer.status.value} | `{answer.retry}` "
            f"| `{answer.outcome}` |"
        )
    return "\n".join(parts) + "\n"


def _option_table(options: dict[str, Option]) -> str:
    rows = ["| option | default | expected | meaning |", "|---|---|---|---|"]
    for name, option in options.items():
        default = "required" if option.required else f"`{option.default}`"
        rows.append(f"| `{name}` | {default} | {option.expected} | {option.help} |")
    return "\n".join(rows) + "\n"


@click.command()
@click.option(
    "--check", is_flag=True, help="Fail if docs/reference.md is not up to date."
)
def main(check: bool) -> None:
    """Write docs/reference.md, or check that it is up to date."""
    page = render()
    if check and page != PAGE.read_text():
        sys.exit("docs/reference.md differs from the code: run make reference")
    PAGE.write_text(page)


if __name__ == "__main__":
    main()
