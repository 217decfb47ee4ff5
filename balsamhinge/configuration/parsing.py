"""Turns the operators' single text into a plan, with all findings."""

import datetime
import ipaddress
import pathlib

import iniconfig

from balsamhinge.configuration import checks
from balsamhinge.configuration import findings
from balsamhinge.configuration import plan
from balsamhinge import exceptions

__all__ = [
    "SectionReader",
    "build_from",
    "parse_plan",
    "read_ini",
    "read_text",
    "reject_unknown_sections",
    "section_reader",
]

MOST_PORT = 65535
MILLISECONDS = 1000
SECTION_KEYS = {
    "service": ["group", "depends_on", "shutdown"],
    "class": ["kind", "repeatable", "length", "deadline_ms", "max_age_ms"],
    "group": ["targets"],
    "target": ["address", "data_centre", "connections", "slots", "state"],
}


def parse_plan(text, file="configuration"):
    """Return the plan that a text describes.

    Parameters
    ----------
    text : str
        The operators' text.
    file : str
        Its name, for findings.

    Returns
    -------
    Plan

    Raises
    ------
    ConfigurationError
        With every finding, if there is any.
    """

    def build(ini, found):
        parsed = _parse_sections(ini, found)
        checks.check_plan(parsed, found)
        return parsed

    return build_from(text, file, build)


def read_text(path):
    """Return the text in a file.

    Raises
    ------
    ConfigurationError
        If it is not UTF-8; names the line and the byte.
    OSError
    """
    data = pathlib.Path(path).read_bytes()
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as exc:
        found = findings.FindingList(str(path))
        found.add(
            data.count(b"\n", 0, exc.start) + 1,
            "",
            f"byte {exc.start + 1} is not UTF-8",
            "save the text as UTF-8",
        )
        raise exceptions.ConfigurationError(found.found) from exc


def build_from(text, file, build):
    """Return what `build(ini, found)` makes of an INI text.

    Raises
    ------
    ConfigurationError
        With every finding, if there is any.
    """
    found = findings.FindingList(file)
    ini = read_ini(text, found)
    built = build(ini, found) if ini else None
    if found.found:
        raise exceptions.ConfigurationError(found.in_order())
    return built


def read_ini(text, found):
    """Return the parsed INI text, or None after recording a finding."""
    try:
        return iniconfig.IniConfig(found.file, data=text)
    except iniconfig.ParseError as exc:
        found.add(exc.lineno + 1, "", str(exc.msg), "write valid INI")
        return None


def reject_unknown_sections(ini, known, found):
    """Record a finding for each section that is not among the known."""
    for section in ini:
        if section.name not in known:
            expected = ", ".join(known)
            found.add(
                ini.lineof(section.name),
                section.name,
                "unknown section",
                f"use: {expected}",
            )


def section_reader(ini, name, keys, found, optional=False):
    """Return the reader of a section, which has no keys if it is missing.

    Parameters
    ----------
    ini : iniconfig.IniConfig
        The whole text.
    name : str
        Of the section.
    keys : list of str
        Those that it may have.
    found : FindingList
        Where findings go.
    optional : bool
        Whether it may be missing.

    Returns
    -------
    SectionReader
    """
    if name not in ini.sections and not optional:
        found.add(0, name, "the section is missing", f"add [{name}]")
    reader = SectionReader(ini, _Section(ini, name), found)
    reader.reject_unknown_keys(keys)
    return reader


class _Section:
    """A section that may be missing; then it has no keys."""

    def __init__(self, ini, name):
        self.name = name
        self._ini = ini
        self._values = ini.sections.get(name, {})

    def __iter__(self):
        return iter(self._values)

    def __contains__(self, key):
        return key in self._values

    def get(self, key):
        return self._values.get(key)

    def lineof(self, key):
        return self._ini.lineof(self.name, key)


def _parse_sections(ini, found):
    parsed = plan.Plan()
    for section in ini:
        kind, _, name = section.name.partition(" ")
        reader = SectionReader(ini, section, found)
        if kind not in SECTION_KEYS or not name.strip():
            kinds = ", ".join(SECTION_KEYS)
            reader.add("", "unknown section", f"use one of: {kinds}, a name")
            continue
        reader.reject_unknown_keys(SECTION_KEYS[kind])
        name = name.strip()
        match kind:
            case "service":
                parsed.services[name] = _service(name, reader)
            case "class":
                parsed.classes[name] = _work_class(name, reader)
            case "group":
                targets = tuple(reader.names("targets", required=True))
                parsed.groups[name] = plan.Group(name, targets, reader.line)
            case "target":
                parsed.targets[name] = _target(name, reader)
    return parsed


class SectionReader:
    """Reads one section's values and records what is wrong with them.

    Parameters
    ----------
    ini : iniconfig.IniConfig
        The whole text.
    section : iniconfig.SectionWrapper
        The section.
    found : FindingList
        Where findings go.
    """

    def __init__(self, ini, section, found):
        self._ini = ini
        self._section = section
        self._found = found
        self.line = (ini.lineof(section.name) or 0) if section else 0

    def add(self, key, problem, remedy=""):
        """Record a finding at a key, or at the section for ""."""
        line = self.line
        if key and key in self._section:
            line = self._section.lineof(key)
        self._found.add(line, self._section.name, problem, remedy)

    def reject_unknown_keys(self, known):
        """Record a finding for each key that is not known."""
        for key in self._section:
            if key not in known:
                expected = ", ".join(known)
                self.add(key, f"unknown key {key}", f"use one of: {expected}")

    def text(self, key, default=None):
        """Return a value; without a default it has to be there."""
        value = self._section.get(key)
        if value is not None and value.strip():
            return value.strip()
        if default is None:
            self.add("", f"{key} is missing", f"add {key} = ...")
            return ""
        return default

    def names(self, key, required=False):
        """Return the words of a comma-separated value."""
        value = self.text(key, None if required else "")
        words = [word.strip() for word in value.split(",")]
        return [word for word in words if word]

    def choice(self, key, options, default):
        """Return one of `options`."""
        value = self.text(key, default)
        if value not in options:
            expected = " or ".join(options)
            self.add(key, f"{key} is {value!r}", f"write {expected}")
            return default
        return value

    def flag(self, key, default):
        """Return whether a value is "yes"."""
        return self.choice(key, ["yes", "no"], default) == "yes"

    def number(self, key, default, least, most):
        """Return a whole number between `least` and `most`."""
        value = self.text(key, str(default))
        if not value.isdigit() or not least <= int(value) <= most:
            self.add(
                key,
                f"{key} is {value!r}",
                f"write a whole number from {least} to {most}",
            )
            return default
        return int(value)

    def seconds(self, key, default, least, most):
        """Return a number of seconds between `least` and `most`."""
        value = self.text(key, str(default))
        try:
            if least <= float(value) <= most:
                return float(value)
        except ValueError:
            pass
        self.add(
            key,
            f"{key} is {value!r}",
            f"write a number of seconds from {least} to {most}",
        )
        return default

    def day(self, key):
        """Return a date, or None if there is none."""
        value = self.text(key, "")
        if not value:
            return None
        try:
            return datetime.date.fromisoformat(value)
        except ValueError:
            self.add(key, f"{key} is {value!r}", "write YYYY-MM-DD")
            return None

    def address(self, key):
        """Return an IP number and a port."""
        value = self.text(key)
        host, _, port = value.rpartition(":")
        try:
            ipaddress.ip_address(host)
            if 0 < int(port) <= MOST_PORT:
                return host, int(port)
        except ValueError:
            pass
        if value:
            self.add(key, f"{key} is {value!r}", "write IP-number:port")
        return "", 0


def _service(name, reader):
    return plan.Service(
        name=name,
        group=reader.text("group"),
        depends_on=tuple(reader.names("depends_on")),
        shutdown=reader.day("shutdown"),
        line=reader.line,
    )


def _work_class(name, reader):
    return plan.WorkClass(
        name=name,
        write=reader.choice("kind", ["read", "write"], "read") == "write",
        repeatable=reader.flag("repeatable", "no"),
        long=reader.choice("length", ["short", "long"], "short") == "long",
        deadline_s=reader.number("deadline_ms", 2000, 10, 600_000)
        / MILLISECONDS,
        max_age_s=reader.number("max_age_ms", 0, 0, 86_400_000) / MILLISECONDS,
    )


def _target(name, reader):
    host, port = reader.address("address")
    return plan.Target(
        name=name,
        host=host,
        port=port,
        data_centre=reader.text("data_centre"),
        connections=reader.number("connections", 20, 1, 10_000),
        slots=reader.number("slots", 3, 1, 1_000),
        state=plan.TargetState(
            reader.choice("state", list(plan.TargetState), "active")
        ),
        line=reader.line,
    )
