"""Settings of one instance: only what a process must know to start."""

from pathlib import Path
from typing import NamedTuple

from plantainstack.errors import ConfigurationError
from plantainstack.settings.ini import IniFile, parse_sections, read_ini
from plantainstack.settings.options import (
    AddressOption,
    Boolean,
    File,
    OptionalText,
    Options,
    Text,
)


class InstanceOptions(Options):
    """Declare the section `instance`."""

    id = Text(help="Name of this instance in the instance list.")
    data_centre = Text(help="Data centre of this instance.")
    listen = AddressOption(help="Address for callers and trainers.")
    operator_listen = AddressOption(help="Address for operators.")
    peer_listen = AddressOption(help="Address for other entry instances.")
    control = Boolean("yes", help="Run membership; off only to measure its cost.")


class PlatformOptions(Options):
    """Declare the section `platform`; each is the address of one service."""

    table = AddressOption(help="Table service.")
    objects = AddressOption(help="Object store.")
    instances = AddressOption(help="Instance list.")
    weights = AddressOption(help="Weight store.")
    scorer = AddressOption(help="Scorer of samples.")


class CredentialOptions(Options):
    """Declare the section `credentials`; secrets are kept in files of their own."""

    tokens = File(help="Tokens by role: sections callers, trainers and operators.")
    peer_key = File(help="Key that all entry instances share.")


class LogOptions(Options):
    """Declare the section `log`."""

    file = OptionalText("", help="Path of the log; standard output without one.")


class Tokens(NamedTuple):
    """Map each token to the name of its holder, for each role."""

    callers: dict[str, str]
    trainers: dict[str, str]
    operators: dict[str, str]


class InstanceSettings(NamedTuple):
    """Hold the settings of one instance."""

    instance: InstanceOptions
    platform: PlatformOptions
    credentials: CredentialOptions
    log: LogOptions

    def log_path(self) -> Path | None:
        """Return the path of the log, or None for standard output."""
        return Path(self.log.file) if self.log.file else None

    def peer_key(self) -> bytes:
        """Read the key that all entry instances share."""
        return self.credentials.peer_key.read_bytes().strip()

    def tokens(self) -> Tokens:
        """Read the tokens by role."""
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
}


def parse_instance(text: str, source: str) -> InstanceSettings:
    """Check an instance's INI text.

    Raises ConfigurationError with all problems at once.
    """
    return InstanceSettings(**parse_sections(text, source, SECTIONS))


def load_instance(path: Path) -> InstanceSettings:
    """Read and check an instance's INI file."""
    return parse_instance(path.read_text(), str(path))


def _holders(ini: IniFile, role: str) -> dict[str, str]:
    return {token: name for name, token in ini.sections.get(role, {}).items()}
