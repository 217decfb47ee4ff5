"""Findings about a text, each with its place."""

import attrs

__all__ = ["Finding", "FindingList"]


@attrs.frozen(order=True)
class Finding:
    """One thing that is wrong in a text.

    Parameters
    ----------
    file : str
        Name of the text.
    line : int
        Line number from 1, or 0 if the whole text is meant.
    section : str
        Section of the text, or "".
    problem : str
        What is wrong.
    remedy : str
        What would be right.
    """

    file: str
    line: int
    section: str
    problem: str
    remedy: str = ""

    def __str__(self):
        place = f"{self.file}:{self.line}: "
        section = f"[{self.section}] " if self.section else ""
        remedy = f"; {self.remedy}" if self.remedy else ""
        return f"{place}{section}{self.problem}{remedy}"


@attrs.define
class FindingList:
    """Collects the findings of one text.

    Parameters
    ----------
    file : str
        Name of the text.
    found : list of Finding
        In the order of their discovery.
    """

    file: str
    found: list[Finding] = attrs.Factory(list)

    def add(self, line, section, problem, remedy=""):
        """Record a finding."""
        finding = Finding(self.file, line or 0, section, problem, remedy)
        self.found.append(finding)

    def in_order(self):
        """Return the findings by line."""
        return sorted(self.found)
