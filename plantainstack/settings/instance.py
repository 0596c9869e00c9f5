"""Settings of one instance: only those that the process needs to start."""

from pathlib import Path
from typing import NamedTuple

from plantainstack.errors import ConfigurationError
from plantainstack.settings.ini import IniFile, parse_sections, read_ini
from plantainstack.settings.memory import MemoryOptions
from plantainstack.settings.options import (
    AddressOption,
    Boolean,
    File,
    OptionalText,
    Options,
    Text,
)


class InstanceOptions(Options):
    """Options of the section `instance`."""

    id = Text(help="Id of this instance in the instance list.")
    data_centre = Text(help="Data centre of this instance.")
    listen = AddressOption(help="Address for callers and trainers.")
    operator_listen = AddressOption(help="Address for operators.")
    peer_listen = AddressOption(help="Address for other entry instances.")
    control = Boolean(
        "yes", help="Run membership; switch off only to measure its cost."
    )


class PlatformOptions(Options):
    """Options of the section `platform`: the address of each service."""

    table = AddressOption(help="Table service.")
    objects = AddressOption(help="Object store.")
    instances = AddressOption(help="Instance list.")
    weights = AddressOption(help="Weight store.")
    scorer = AddressOption(help="Scorer of samples.")


class CredentialOptions(Options):
    """Options of the section `credentials`; secrets are kept in separate files."""

    tokens = File(help="Tokens by role, in sections callers, trainers and operators.")
    peer_key = File(help="Key shared by all entry instances.")


class LogOptions(Options):
    """Options of the section `log`."""

    file = OptionalText("", help="Path of the log file; standard output if empty.")


class Tokens(NamedTuple):
    """The name of each token's holder, by token; one mapping per role."""

    callers: dict[str, str]
    trainers: dict[str, str]
    operators: dict[str, str]


class InstanceSettings(NamedTuple):
    """The validated settings of one instance."""

    instance: InstanceOptions
    platform: PlatformOptions
    credentials: CredentialOptions
    log: LogOptions
    memory: MemoryOptions

    def log_path(self) -> Path | None:
        """Return the path of the log file, or None for standard output."""
        return Path(self.log.file) if self.log.file else None

    def peer_key(self) -> bytes:
        """Read the key shared by all entry instances."""
        return self.credentials.peer_key.read_bytes().strip()

    def tokens(self) -> Tokens:
        """Read the tokens of each role; raise ConfigurationError if invalid."""
        path = self.credentials.tokens
        ini = read_ini(path.read_text(), str(path))
        if ini.problems:
            raise ConfigurationError(ini.problems)
        return Tokens(*(_holders(ini, role) for role in Tokens._fields))


SECTIONS: dict[str, type[Options]] = {
    "instance": InstanceOptions,
    "platform": PlatformOptions,
    "credentials": CredentialOptions,
    "log": LogOptions,
    "memory": MemoryOptions,
}


def parse_instance(text: str, source: str) -> InstanceSettings:
    """Parse and validate the INI text of an instance's settings.

    Raises ConfigurationError with all problems at once.
    """
    return InstanceSettings(**parse_sections(text, source, SECTIONS))


def load_instance(path: Path) -> InstanceSettings:
    """Read and validate an instance's INI file; raise ConfigurationError."""
    return parse_instance(path.read_text(), str(path))


def _holders(ini: IniFile, role: str) -> dict[str, str]:
    return {token: name for name, token in ini.sections.get(role, {}).items()}
