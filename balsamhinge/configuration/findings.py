"""Configuration errors with their locations."""

import attrs

__all__ = ["Finding", "FindingList"]


@attrs.frozen(order=True)
class Finding:
    """One error in a configuration file.

    Parameters
    ----------
    file : str
        File name, or a label for a configuration without a file.
    line : int
        Line number from 1, or 0 if the finding concerns the whole file.
    section : str
        Name of the section, or "".
    problem : str
        What is wrong.
    remedy : str
        How to correct it, or "".
    """

    file: str
    line: int
    section: str
    problem: str
    remedy: str = ""

    def __str__(self):
        location = f"{self.file}:{self.line}: "
        section = f"[{self.section}] " if self.section else ""
        remedy = f"; {self.remedy}" if self.remedy else ""
        return f"{location}{section}{self.problem}{remedy}"


@attrs.define
class FindingList:
    """Collects the findings of one configuration file.

    Parameters
    ----------
    file : str
        File name that is given to each finding.
    found : list of Finding
        Findings in the order of their discovery.
    """

    file: str
    found: list[Finding] = attrs.Factory(list)

    def add(self, line, section, problem, remedy=""):
        """Record a finding; a `line` of None means the whole file."""
        finding = Finding(self.file, line or 0, section, problem, remedy)
        self.found.append(finding)

    def in_order(self):
        """Return the findings sorted by line."""
        return sorted(self.found)
