"""INI parser that keeps line numbers, so that every problem states its location."""

import configparser
import re
from typing import NamedTuple

from plantainstack.errors import ConfigurationError
from plantainstack.settings.options import Option, Options, Problem

_SECTION = re.compile(r"\[(?P<name>[^]]+)\]")
_OPTION = re.compile(r"(?P<name>[^\s#;=:\[][^=:]*?)\s*[=:]")


class IniFile(NamedTuple):
    """A parsed INI file: option texts, line numbers and syntax problems."""

    source: str
    sections: dict[str, dict[str, str]]
    lines: dict[tuple[str, str], int]
    problems: list[Problem]

    def line(self, section: str, option: str = "") -> int | None:
        """Return the line of an option or else of its section, or None."""
        return self.lines.get((section, option), self.lines.get((section, "")))

    def problem(self, section: str, option: str, message: str, expected: str = ""):
        """Build a problem with the location of an option."""
        name = f"[{section}] {option}".rstrip()
        return Problem(self.source, self.line(section, option), name, message, expected)


def read_ini(text: str, source: str) -> IniFile:
    """Parse INI text; syntax errors and duplicates are returned as problems."""
    lines, problems = _index_lines(text, source)
    parser = configparser.ConfigParser(strict=False, interpolation=None)
    parser.optionxform = str
    try:
        parser.read_string(text, source)
    except configparser.Error as exc:
        line = getattr(exc, "lineno", None)
        problems.append(Problem(source, line, "file", exc.message, "INI"))
    sections = {name: dict(parser[name]) for name in parser.sections()}
    return IniFile(source, sections, lines, problems)


def parse_options(
    ini: IniFile, section: str, options: dict[str, Option]
) -> tuple[dict, list[Problem]]:
    """Validate the options of one section; return the values and the problems."""
    given = ini.sections.get(section, {})
    problems = [
        ini.problem(section, name, "unknown option", f"one of {', '.join(options)}")
        for name in given
        if name not in options
    ]
    values = {}
    for name, option in options.items():
        text = given.get(name, option.default)
        if text is None:
            problems.append(ini.problem(section, name, "missing", option.expected))
            continue
        outcome = option.parse(text)
        if outcome.is_ok():
            values[name] = outcome.unwrap()
        else:
            message = outcome.unwrap_err()
            problems.append(ini.problem(section, name, message, option.expected))
    return values, problems


def parse_sections(
    text: str, source: str, sections: dict[str, type[Options]]
) -> dict[str, Options]:
    """Parse and validate INI text that consists of the given sections.

    Raises ConfigurationError with all problems at once.
    """
    ini = read_ini(text, source)
    problems = list(ini.problems)
    problems += [
        ini.problem(name, "", "unknown section", f"one of {', '.join(sections)}")
        for name in ini.sections
        if name not in sections
    ]
    parts = {}
    for section, kind in sections.items():
        values, found = parse_options(ini, section, kind.declared())
        problems += found
        parts[section] = kind(**values)
    if problems:
        raise ConfigurationError(problems)
    return parts


def _index_lines(text: str, source: str):
    lines: dict[tuple[str, str], int] = {}
    problems: list[Problem] = []
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        if match := _SECTION.match(line):
            section, option = match["name"], ""
        elif match := _OPTION.match(line):
            option = match["name"]
        else:
            continue
        first = lines.setdefault((section, option), number)
        if first != number:
            name = f"[{section}] {option}".rstrip()
            message = f"duplicate of line {first}"
            problems.append(Problem(source, number, name, message, "one occurrence"))
    return lines, problems
