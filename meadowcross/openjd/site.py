"""Reads the operators' file (XML) of submitters: who may submit tickets, and with which team, class and limits.

The ticket itself can't change any of these settings.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from meadowcross.common.settings import SettingsError, read_plain_elements, read_xml
from meadowcross.jobs.messages import Priority

_Text = Annotated[str, Meta(min_length=1, max_length=200)]
_PositiveAmount = Annotated[float, Meta(gt=0, le=1e9)]
_Amount = Annotated[float, Meta(ge=0, le=1e9)]
_Count = Annotated[int, Meta(ge=1, le=100_000)]


class Submitter(Struct, frozen=True):
    """One submitter: fixed values for its jobs, defaults for resources that a step doesn't request, and limits."""

    name: _Text
    team: _Text
    job_class: _Text = msgspec.field(name="class")
    priority: Priority
    image: _Text
    image_gb: _Amount = 0.0
    cpus: _PositiveAmount = 1.0
    memory_gb: _Amount = 1.0
    estimate_s: _Amount = 0.0
    """Initial estimate of a task's run time; learned run times correct it."""
    spot: bool = False
    max_cpus: _PositiveAmount = 64.0
    max_memory_gb: _PositiveAmount = 512.0
    max_gpus: _Amount = 0.0
    max_tasks: _Count = 10_000
    """Limit of one step; the limit of a ticket is ten times as high."""
    types: list[_Text] = []
    """Machine types that a step may request; empty: any."""
    zones: list[_Text] = []


class Site(Struct, frozen=True):
    """All submitters of a site."""

    submitters: list[Submitter]

    def find_submitter(self, name: str) -> Submitter | None:
        """The submitter with this name, or None."""
        return next((submitter for submitter in self.submitters if submitter.name == name), None)


def load_site(path: str) -> Site:
    """Read the file: a `<tickets>` element that contains one `<submitter>` element for each submitter.

    `<types>` and `<zones>` are lists of words. Raises SettingsError with the file, the element and what was expected.
    """
    root = read_xml(path, "tickets")
    known_elements = {field.encode_name for field in msgspec.structs.fields(Submitter)}
    submitters: list[Submitter] = []
    for number, element in enumerate(root, 1):
        location = f"{path}: submitter {number}"
        if element.tag != "submitter":
            raise SettingsError(f"{path}: element <{element.tag}>: expected <submitter>")
        values = read_plain_elements(location, element, known_elements, ("types", "zones"))
        try:
            submitter = msgspec.convert(values, Submitter, strict=False)
        except msgspec.ValidationError as error:
            raise SettingsError(f"{location}: {error}") from error
        if any(submitter.name == other.name for other in submitters):
            raise SettingsError(f"{location}: the name {submitter.name!r} is given twice")
        submitters.append(submitter)
    return Site(submitters)
