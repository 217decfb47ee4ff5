"""Reads the platform's configuration object for checks by operators.

Unlike `decoding` it keeps the location of each entry, reports everything
that it cannot read, and needs no running instance.
"""

import json

import msgspec

from balsamhinge.configuration import tabledocuments
from balsamhinge.platform import decoding
from balsamhinge.platform import fields
from balsamhinge.policy import customers
from balsamhinge.policy import routes

__all__ = ["read_document"]

ROUTE_FIELDS = {
    "database": "database",
    "group": "service_name",
    "freshness": "route_type",
    "max_age_s": "max_staleness_ms",
    "timeout_s": "timeout_ms",
    "aim_s": "target_latency_ms",
    "priority": "priority",
    "public": "public",
}
GROUP_FIELDS = {
    "group": "name",
    "connections": "max_conns",
    "synchronous_replicas": "sync_replicas",
}
CUSTOMER_FIELDS = {
    "name": "name",
    "key_digests": "api_keys",
    "priority": "priority",
    "rate_per_s": "rate_per_s",
    "burst": "burst",
}
# The object as the store shows it has its content in this field.
CONTENT_FIELD = "spec"
MS_PER_S = fields.MS_PER_S
MAX_SHOWN_CHARS = 80

Entry = tabledocuments.Entry
Problem = tabledocuments.Problem


class RouteSpec(msgspec.Struct):
    """Fields of a route."""

    database: str
    service_name: str
    route_type: str
    max_staleness_ms: float | None = None
    timeout_ms: float | None = None
    target_latency_ms: float | None = None
    priority: int | None = None
    public: bool | None = None


class ServiceSpec(msgspec.Struct):
    """Fields of a group's limits."""

    name: str
    max_conns: int
    sync_replicas: int | None = None


class CustomerSpec(msgspec.Struct):
    """Fields of a customer."""

    name: str
    api_keys: list[str]
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None


class LimitsSpec(msgspec.Struct):
    """Fields of the limits that hold for all routes."""

    tx_idle_ms: float | None = None


def read_document(data):
    """Read a configuration object.

    Parameters
    ----------
    data : bytes
        JSON, either the content of the object or the object with its
        content in `CONTENT_FIELD`.

    Returns
    -------
    document : Document or None
        None if the object cannot be read as a whole.
    problems : list of Problem
        What could not be read. Their texts hold no value of the object.
    """
    repeated = []

    def build(pairs):
        names = [name for name, _value in pairs]
        repeated.extend({n for n in names if names.count(n) > 1})
        return dict(pairs)

    try:
        spec = json.loads(
            data.decode("utf-8-sig"),
            object_pairs_hook=build,
            parse_constant=_reject_constant,
        )
    except UnicodeDecodeError as exc:
        text = f"byte {exc.start + 1} is not UTF-8"
        return None, [Problem.error("", text)]
    except json.JSONDecodeError as exc:
        path = f"line {exc.lineno} column {exc.colno}"
        return None, [Problem.error(path, f"is not JSON: {exc.msg}")]
    except (ValueError, RecursionError) as exc:
        reason = type(exc).__name__
        return None, [Problem.error("", f"cannot be read: {reason}")]
    problems = [
        Problem.error("", f"an object has the field {name!r} twice")
        for name in repeated
    ]
    prefix = ""
    if isinstance(spec, dict) and CONTENT_FIELD in spec:
        spec, prefix = spec[CONTENT_FIELD], CONTENT_FIELD + "."
    reader = _DocumentReader(prefix, problems)
    return reader.read(spec), problems


def _reject_constant(name):
    raise ValueError(f"{name} is not a JSON number")


class _DocumentReader:
    """Reads the content of one object and collects its problems."""

    def __init__(self, prefix, problems):
        self._prefix = prefix
        self._problems = problems
        self._unreadable = 0

    def read(self, spec):
        """Return the `Document`, or None if it is none at all."""
        if not isinstance(spec, dict):
            self._add("", "is not an object")
            return None
        version = self._convert(spec.get("version"), int, "version")
        limits = spec.get("limits")
        if limits is not None:
            self._read_limits(limits)
        found = self._read_list(
            spec, "tenants", self._read_customer, optional=True
        )
        if spec.get("tenants") and not found:
            self._add(
                "tenants",
                "no entry is valid, so no part of the configuration comes "
                "into force",
            )
        return tabledocuments.Document(
            version=version or 0,
            routes=self._read_list(spec, "routes", self._read_route),
            groups=self._read_list(spec, "services", self._read_group),
            customers=found,
            unreadable=self._unreadable,
        )

    def _add(self, path, text):
        self._problems.append(Problem.error(self._prefix + path, text))

    def _convert(self, value, to, path):
        """Return a value as a type, or None with a problem."""
        try:
            return msgspec.convert(value, to)
        except msgspec.ValidationError as exc:
            # The message names types and the path, never a value.
            text, _, inner = str(exc).partition(" - at `$")
            self._add(path + inner.rstrip("`"), text)
            return None

    def _read_limits(self, limits):
        found = self._convert(limits, LimitsSpec, "limits")
        if found is not None and (found.tx_idle_ms or 0) < 0:
            self._add("limits.tx_idle_ms", "is below 0")

    def _read_list(self, spec, field, read_entry, optional=False):
        items = spec.get(field)
        if items is None and optional:
            return []
        if not isinstance(items, list):
            missing = "is missing" if field not in spec else "is not a list"
            self._add(field, missing)
            return []
        entries = []
        for index, item in enumerate(items):
            entry = read_entry(item, f"{field}[{index}]")
            if entry is None:
                self._unreadable += 1
            else:
                entries.append(entry)
        return entries

    def _read_route(self, item, path):
        spec = self._convert(item, RouteSpec, path)
        if spec is None:
            return None
        freshness = decoding.FRESHNESS_OF_ROUTE_TYPE.get(spec.route_type)
        if freshness is None:
            known = ", ".join(sorted(decoding.FRESHNESS_OF_ROUTE_TYPE))
            self._add(
                f"{path}.route_type",
                f"{spec.route_type!r} is unknown; known are: {known}",
            )
            return None
        self._check_word(
            spec.database, f"{path}.database", shown=spec.database
        )
        route = routes.Route(
            database=spec.database,
            group=spec.service_name,
            freshness=freshness,
            max_age_s=(spec.max_staleness_ms or 0) / MS_PER_S,
            timeout_s=_milliseconds(spec.timeout_ms) / MS_PER_S,
            aim_s=_milliseconds(spec.target_latency_ms) / MS_PER_S,
            priority=spec.priority or 0,
            public=bool(spec.public),
        )
        return Entry(route, self._prefix + path, ROUTE_FIELDS)

    def _read_group(self, item, path):
        spec = self._convert(item, ServiceSpec, path)
        if spec is None:
            return None
        self._check_word(spec.name, f"{path}.name", shown=spec.name)
        limits = routes.GroupLimits(
            spec.name, spec.max_conns, spec.sync_replicas or 0
        )
        return Entry(limits, self._prefix + path, GROUP_FIELDS)

    def _read_customer(self, item, path):
        spec = self._convert(item, CustomerSpec, path)
        if spec is None:
            return None
        self._check_word(
            spec.name, f"{path}.name", decoding.MAX_NAME_CHARS, spec.name
        )
        for index, key in enumerate(spec.api_keys):
            key_path = f"{path}.api_keys[{index}]"
            self._check_word(key, key_path, customers.MAX_KEY_CHARS)
        rate = spec.rate_per_s
        customer = customers.Customer(
            name=spec.name,
            key_digests=tuple(map(customers.digest_key, spec.api_keys)),
            priority=spec.priority or 0,
            rate_per_s=float("inf") if rate is None else rate,
            burst=spec.burst or 0.0,
        )
        return Entry(customer, self._prefix + path, CUSTOMER_FIELDS)

    def _check_word(
        self, text, path, max_chars=fields.MAX_WORD_CHARS, shown=""
    ):
        """Report a text that cannot be one word of a protocol's line.

        `shown` is the text if it is not a secret.
        """
        if not fields.is_word(text, max_chars):
            shown = f"{shown[:MAX_SHOWN_CHARS]!r} " if shown else ""
            self._add(
                path,
                f"{shown}is not one word of at most {max_chars} characters, "
                "so it never matches",
            )


def _milliseconds(value):
    return decoding.DEFAULT_TIMEOUT_MS if value is None else value
