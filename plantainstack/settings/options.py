"""Typed options that validate their text, and the classes that declare them."""

import re
from abc import ABC, abstractmethod
from pathlib import Path
from typing import Any, ClassVar, Generic, NamedTuple, TypeVar

from result import Err, Ok, Result

T = TypeVar("T")

_DURATION_UNITS_S = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
_SIZE_UNITS_BYTES = {"B": 1, "KB": 1000, "KiB": 1024, "MB": 10**6, "MiB": 1024**2}
_QUANTITY = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)")
_BOOLEANS = {"yes": True, "true": True, "no": False, "false": False}


class Problem(NamedTuple):
    """One problem in a settings file or a configuration."""

    source: str
    line: int | None
    option: str
    message: str
    expected: str

    def __str__(self):
        place = self.source if self.line is None else f"{self.source}:{self.line}"
        expected = f" (expected {self.expected})" if self.expected else ""
        return f"{place}: {self.option}: {self.message}{expected}"


class Option(ABC, Generic[T]):
    """Validates and converts the text of one option.

    An option without a default is required. Defaults are given as text, as in a file,
    so that they are validated in the same way.
    """

    expected: ClassVar[str]

    def __init__(self, default: str | None = None, help: str = ""):
        self.default = default
        self.help = help

    def __set_name__(self, owner, name):
        self.name = name

    @property
    def required(self) -> bool:
        """Return whether the option must be set, as it has no default."""
        return self.default is None

    @abstractmethod
    def parse(self, text: str) -> Result[T, str]:
        """Convert the text, or return a message that says why it is invalid."""


class Text(Option[str]):
    """Accepts any text that is not blank."""

    expected = "text"

    def parse(self, text: str) -> Result[str, str]:
        """Return the text."""
        return Ok(text) if text.strip() else Err("is empty")


class OptionalText(Option[str]):
    """Accepts any text, including empty text."""

    expected = "text, or nothing"

    def parse(self, text: str) -> Result[str, str]:
        """Return the text."""
        return Ok(text)


class Boolean(Option[bool]):
    """Accepts yes, no, true or false."""

    expected = "yes or no"

    def parse(self, text: str) -> Result[bool, str]:
        """Return the Boolean value."""
        value = _BOOLEANS.get(text.strip().lower())
        return Err(f"{text!r} is neither yes nor no") if value is None else Ok(value)


class Number(Option[float]):
    """Accepts a number within bounds."""

    expected = "a number"

    def __init__(self, default=None, help="", minimum=0.0, maximum=float("inf")):
        super().__init__(default, help)
        self.minimum = minimum
        self.maximum = maximum

    def parse(self, text: str) -> Result[float, str]:
        """Return the number."""
        try:
            value = self._convert(text)
        except ValueError:
            return Err(f"{text!r} is not {self.expected}")
        if not self.minimum <= value <= self.maximum:
            return Err(f"{text} is not between {self.minimum} and {self.maximum}")
        return Ok(value)

    def _convert(self, text: str):
        return float(text)


class Integer(Number):
    """Accepts a whole number within bounds."""

    expected = "a whole number"

    def _convert(self, text: str):
        return int(text)


class _Quantity(Option[float]):
    units: ClassVar[dict[str, float]]

    def __init__(self, default=None, help="", minimum=0.0):
        super().__init__(default, help)
        self.minimum = minimum

    def parse(self, text: str) -> Result[float, str]:
        """Return the quantity in the base unit."""
        match = _QUANTITY.fullmatch(text.strip())
        if match is None or match[2] not in self.units:
            return Err(f"{text!r} is not a number with a valid unit")
        value = float(match[1]) * self.units[match[2]]
        if value < self.minimum:
            return Err(f"{text} is below the minimum")
        return Ok(value)


class Duration(_Quantity):
    """Accepts a duration with a unit; the value is in seconds."""

    expected = "a duration such as 250 ms, 7 s or 24 min"
    units = _DURATION_UNITS_S


class Size(_Quantity):
    """Accepts a size with a unit; the value is in bytes."""

    expected = "a size such as 64 KiB or 1 MiB"
    units = _SIZE_UNITS_BYTES

    def parse(self, text: str) -> Result[int, str]:
        """Return the size in bytes."""
        return super().parse(text).map(int)


class Choice(Option[str]):
    """Accepts one of a list of words."""

    def __init__(self, choices, default=None, help=""):
        super().__init__(default, help)
        self.choices = tuple(choices)

    @property
    def expected(self):
        """Return the list of choices as text."""
        return " or ".join(self.choices)

    def parse(self, text: str) -> Result[str, str]:
        """Return the word."""
        if text in self.choices:
            return Ok(text)
        return Err(f"{text!r} is not a valid choice")


class Words(Option[tuple[str, ...]]):
    """Accepts words of a list, separated by commas, or nothing."""

    def __init__(self, choices, default="", help=""):
        super().__init__(default, help)
        self.choices = tuple(choices)

    @property
    def expected(self):
        """Return the list of choices as text."""
        return f"some of {', '.join(self.choices)}"

    def parse(self, text: str) -> Result[tuple[str, ...], str]:
        """Return the words that are known; others belong to newer versions."""
        words = tuple(word.strip() for word in text.split(","))
        return Ok(tuple(word for word in words if word in self.choices))


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


class AddressOption(Option[Address]):
    """Accepts an IP address and a port, such as 127.0.0.1:8080."""

    expected = "an IP address and a port such as 127.0.0.1:8080"

    def parse(self, text: str) -> Result[Address, str]:
        """Return the address."""
        host, _, port = text.strip().rpartition(":")
        if not host or not port.isdigit() or int(port) > 65535:
            return Err(f"{text!r} is not an address")
        return Ok(Address(host, int(port)))


class OptionalAddress(AddressOption):
    """Accepts an address, or nothing, which stands for None."""

    expected = "an IP address and a port, or nothing"

    def parse(self, text: str) -> Result[Address | None, str]:
        """Return the address."""
        return super().parse(text) if text.strip() else Ok(None)


class File(Option[Path]):
    """Accepts the path of an existing file."""

    expected = "the path of a readable file"

    def parse(self, text: str) -> Result[Path, str]:
        """Return the path."""
        path = Path(text.strip())
        return Ok(path) if path.is_file() else Err(f"{text!r} is not an existing file")


class Options:
    """Validated option values; subclasses declare options as class attributes."""

    def __init__(self, **values: Any):
        for name, value in values.items():
            setattr(self, name, value)

    @classmethod
    def declared(cls) -> dict[str, Option]:
        """Return the options that the class and its bases declare, by name."""
        return {
            name: value
            for base in reversed(cls.__mro__)
            for name, value in vars(base).items()
            if isinstance(value, Option)
        }
