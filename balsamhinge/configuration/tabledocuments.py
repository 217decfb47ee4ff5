"""A configuration of the fleet as operators wrote it, with locations."""

import enum

import attrs

__all__ = ["Document", "Entry", "Problem", "Severity"]


class Severity(enum.StrEnum):
    """How bad a problem of a configuration is."""

    ERROR = "error"
    WARNING = "warning"


@attrs.frozen
class Problem:
    """A problem of a configuration.

    Parameters
    ----------
    severity : Severity
        ERROR if a part of the configuration has no effect as it stands.
    path : str
        Location in the document, or "" for the whole document.
    text : str
        What is wrong. It never holds a key.
    """

    severity: Severity
    path: str
    text: str

    @classmethod
    def error(cls, path, text):
        """Return an error at a location."""
        return cls(Severity.ERROR, path, text)

    @classmethod
    def warning(cls, path, text):
        """Return a warning at a location."""
        return cls(Severity.WARNING, path, text)


@attrs.frozen
class Entry:
    """One entry of a document, decoded.

    Parameters
    ----------
    value : Route, GroupLimits or Customer
        The decoded entry.
    path : str
        Location of the entry in the document.
    fields : dict of str to str
        Name in the document of each attribute of `value`.
    """

    value: object
    path: str
    fields: dict[str, str]

    def path_of(self, attribute):
        """Return the location of an attribute."""
        return f"{self.path}.{self.fields[attribute]}"


@attrs.frozen
class Document:
    """The readable entries of a configuration, in their order.

    Unlike a `RoutingTable` it may hold several entries of one name.

    Parameters
    ----------
    version : int
        Version that the document gives itself.
    routes, groups, customers : list of Entry
        Entries of `Route`, `GroupLimits` and `Customer`.
    unreadable : int
        Number of entries that could not be decoded.
    """

    version: int
    routes: list[Entry]
    groups: list[Entry]
    customers: list[Entry]
    unreadable: int = 0
