"""The fleet configuration: one set of defaults and a list of scoped exceptions."""

from typing import NamedTuple, TypedDict

from plantainstack.errors import ConfigurationError
from plantainstack.settings.ini import IniFile, read_ini
from plantainstack.settings.options import (
    Boolean,
    Duration,
    Integer,
    Number,
    Option,
    Options,
    Problem,
    Size,
)

SCOPE_FIELDS = ("service", "data_centre", "endpoint", "trainer")


class FleetOptions(Options):
    """Options that operators may change while the fleet runs."""

    # Requests
    request_timeout = Duration("30 s", "Time limit for requests that set no deadline.")
    max_body = Size("1 MiB", "Maximum size of a request body.")
    repeatable = Boolean("no", "Whether calls to a plain service may be repeated.")
    require_key = Boolean("no", "Refuse calls without a key unless repeatable.")
    echoes_request_id = Boolean("yes", "Whether endpoints return the attempt id.")
    connect_timeout = Duration("1 s", "Time limit for opening a connection.")
    progress_timeout = Duration("10 s", "Longest time without data in an answer.")
    answer_retention = Duration(
        "24 h", "Time for which answers to keyed calls are kept."
    )
    # Retries and limits
    max_attempts = Integer("3", "Maximum number of attempts per request.", minimum=1)
    retry_ratio = Number("0.15", "Maximum ratio of retries to requests.", maximum=1.0)
    concurrency_min = Integer(
        "2", "Lower bound of an endpoint's concurrency limit.", minimum=1
    )
    concurrency_max = Integer(
        "64", "Upper bound of an endpoint's concurrency limit.", minimum=1
    )
    caller_reserve = Number(
        "0.1", "Share of capacity reserved for callers.", maximum=1.0
    )
    queue_max = Integer(
        "16384", "Maximum number of requests queued on an instance.", minimum=1
    )
    # Routing
    subset_local = Integer(
        "8", "Instances in an endpoint's own data centre that use it.", minimum=1
    )
    subset_remote = Integer(
        "4", "Instances in other data centres that use an endpoint."
    )
    affinity_bound = Number(
        "1.25",
        "Maximum load of an endpoint chosen by affinity, relative to the mean.",
        minimum=1.0,
    )
    crossing_cost = Number(
        "0.25", "Extra cost, as a share of load, of an endpoint in another data centre."
    )
    version_weight = Number(
        "0.5", "Extra cost for rollouts, as a share of load, per version behind."
    )
    ejected_share_max = Number(
        "0.5", "Maximum share of endpoints ejected at once.", maximum=1.0
    )
    # Membership and configuration
    heartbeat_interval = Duration("1 s", "Interval between heartbeats on a peer link.")
    peer_links = Integer(
        "4", "Number of links that an instance opens to peers.", minimum=1
    )
    config_poll_interval = Duration(
        "2 s", "Interval between reads of the newest version."
    )
    config_bound = Duration("7 s", "Time limit for a change to be in force.")
    # Endpoints
    list_poll_interval = Duration("1 s", "Interval between reads of the instance list.")
    load_poll_interval = Duration("1 s", "Interval between reads of a load report.")
    leaving_bound = Duration(
        "5 s", "Longest time for which a leaving endpoint gets work."
    )
    away_share_max = Number(
        "0.5", "Maximum share of endpoints swapped or restarted at once.", maximum=1.0
    )
    checks_fencing = Boolean("no", "Whether engines refuse stale fencing tokens.")
    drain = Boolean("no", "Send no new work to an endpoint or entry instance.")
    slo_target = Number("0.999", "Share of answers that must be good.", maximum=1.0)
    # Leases
    lease_duration = Duration("10 s", "Time for which a lease is granted.")
    lease_margin = Duration("2 s", "Time before expiry at which a holder stops.")
    order_timeout = Duration("30 s", "Longest time until an order in transit arrives.")
    # Steps
    version_bound = Integer(
        "1", "Maximum number of versions by which a sample may lag."
    )
    fresh_share = Number(
        "0.0", "Share of a step's groups that wait for a new version.", maximum=1.0
    )
    fresh_wait = Duration("1 min", "Longest time for which groups wait for a version.")
    step_timeout = Duration("24 min", "Longest time until a step is complete.")


class Scope(NamedTuple):
    """Selects what a value applies to; an empty field matches everything."""

    service: str = ""
    data_centre: str = ""
    endpoint: str = ""
    trainer: str = ""

    def covers(self, other: "Scope") -> bool:
        """Return whether every field that is set here has the same value in `other`."""
        pairs = zip(self, other, strict=True)
        return all(not own or own == others for own, others in pairs)

    def specificity(self) -> int:
        """Return the number of fields that are set."""
        return sum(1 for field in self if field)


class ConfigException(TypedDict):
    """An exception to the defaults for one scope, with the reason for it."""

    name: str
    option: str
    value: str
    scope: dict[str, str]
    reason: str


class FleetContent(TypedDict):
    """Content of a configuration, in the form in which it is stored and sent."""

    defaults: dict[str, str]
    exceptions: list[ConfigException]


class FleetConfig:
    """One validated version of the fleet configuration."""

    def __init__(self, version: int, content: FleetContent):
        problems = check_content(content)
        if problems:
            raise ConfigurationError(problems)
        self.version = version
        self.content = content
        self._values: dict[Scope, FleetOptions] = {}

    @classmethod
    def builtin(cls) -> "FleetConfig":
        """Return version 0, which holds the built-in defaults."""
        return cls(0, FleetContent(defaults={}, exceptions=[]))

    def scoped(self, scope: Scope) -> FleetOptions:
        """Return the values for a scope; the most specific exception wins."""
        if scope not in self._values:
            self._values[scope] = self._resolve(scope)
        return self._values[scope]

    def defaults(self) -> FleetOptions:
        """Return the values to which no exception applies."""
        return self.scoped(Scope())

    def _resolve(self, scope: Scope) -> FleetOptions:
        texts = {name: option.default for name, option in OPTIONS.items()}
        texts.update(self.content["defaults"])
        matching = [
            (Scope(**item["scope"]), item) for item in self.content["exceptions"]
        ]
        matching = [pair for pair in matching if pair[0].covers(scope)]
        matching.sort(key=lambda pair: pair[0].specificity())
        texts.update({item["option"]: item["value"] for _, item in matching})
        return FleetOptions(
            **{name: OPTIONS[name].parse(text).unwrap() for name, text in texts.items()}
        )


OPTIONS: dict[str, Option] = FleetOptions.declared()
_EXCEPTION_FIELDS = ("option", "value", "reason", *SCOPE_FIELDS)


def check_content(content: FleetContent, ini: IniFile | None = None) -> list[Problem]:
    """Return every problem found in the content of a configuration."""
    ini = ini or IniFile("configuration", {}, {}, [])
    problems = []
    for name, text in content["defaults"].items():
        problems += _check_value(ini, "defaults", name, name, text)
    for item in content["exceptions"]:
        problems += _check_exception(ini, item)
    names = [item["name"] for item in content["exceptions"]]
    problems += [
        ini.problem(f"exception {name}", "", "duplicate name", "a unique name")
        for name in {name for name in names if names.count(name) > 1}
    ]
    return problems


def parse_fleet(text: str, source: str) -> FleetContent:
    """Parse and validate the INI text of a fleet configuration.

    Raises ConfigurationError with all problems at once.
    """
    ini = read_ini(text, source)
    problems = list(ini.problems)
    exceptions = []
    for section, given in ini.sections.items():
        if section.startswith("exception "):
            exceptions.append(_exception(section, given))
            problems += _unknown_fields(ini, section, given)
        elif section != "defaults":
            problems.append(
                ini.problem(
                    section, "", "unknown section", "defaults or exception NAME"
                )
            )
    content = FleetContent(
        defaults=ini.sections.get("defaults", {}), exceptions=exceptions
    )
    problems += check_content(content, ini)
    if problems:
        raise ConfigurationError(problems)
    return content


def _exception(section: str, given: dict[str, str]) -> ConfigException:
    return ConfigException(
        name=section.removeprefix("exception ").strip(),
        option=given.get("option", ""),
        value=given.get("value", ""),
        scope={name: given[name] for name in SCOPE_FIELDS if given.get(name)},
        reason=given.get("reason", ""),
    )


def _unknown_fields(ini: IniFile, section: str, given: dict[str, str]):
    expected = f"one of {', '.join(_EXCEPTION_FIELDS)}"
    return [
        ini.problem(section, name, "unknown option", expected)
        for name in given
        if name not in _EXCEPTION_FIELDS
    ]


def _check_exception(ini: IniFile, item: ConfigException) -> list[Problem]:
    section = f"exception {item['name']}"
    problems = _check_value(ini, section, item["option"], "value", item["value"])
    if not item["reason"].strip():
        problems.append(ini.problem(section, "reason", "missing", "a written reason"))
    if not item["scope"] or set(item["scope"]) - set(SCOPE_FIELDS):
        expected = f"at least one of {', '.join(SCOPE_FIELDS)}"
        problems.append(ini.problem(section, "scope", "invalid", expected))
    return problems


def _check_value(ini: IniFile, section: str, name: str, place: str, text: str):
    option = OPTIONS.get(name)
    if option is None:
        return [
            ini.problem(section, name or "option", "unknown option", "a fleet option")
        ]
    outcome = option.parse(text)
    if outcome.is_ok():
        return []
    return [ini.problem(section, place, outcome.unwrap_err(), option.expected)]
