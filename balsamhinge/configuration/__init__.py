"""Parsing, validation and editing of the operators' configuration."""

from balsamhinge.configuration.editing import set_leaving
from balsamhinge.configuration.findings import Finding
from balsamhinge.configuration.findings import FindingList
from balsamhinge.configuration.parsing import parse_plan
from balsamhinge.configuration.plan import Plan

__all__ = ["Finding", "FindingList", "Plan", "parse_plan", "set_leaving"]
