"""Who may submit tickets, and as what: the operators' file (XML). A ticket's own word counts for nothing here."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from meadowcross.common.settings import SettingsError, read_plain_elements, read_xml
from meadowcross.jobs.messages import Priority

_Text = Annotated[str, Meta(min_length=1, max_length=200)]
_Above = Annotated[float, Meta(gt=0, le=1e9)]
_Amount = Annotated[float, Meta(ge=0, le=1e9)]
_Count = Annotated[int, Meta(ge=1, le=100_000)]


class Submitter(Struct, frozen=True):
    """One submitter's mapping: fixed values, defaults for what a step doesn't say, and bounds."""

    name: _Text
    team: _Text
    job_class: _Text = msgspec.field(name="class")
    priority: Priority
    image: _Text
    image_gb: _Amount = 0.0
    cpus: _Above = 1.0
    memory_gb: _Amount = 1.0
    estimate_s: _Amount = 0.0
    """What a task is guessed to take; learned run times correct it."""
    spot: bool = False
    max_cpus: _Above = 64.0
    max_memory_gb: _Above = 512.0
    max_gpus: _Amount = 0.0
    max_tasks: _Count = 10_000
    """Of one step; of a ticket ten times as many."""
    types: list[_Text] = []
    """Machine types that a step may ask for; empty: any."""
    zones: list[_Text] = []


class Site(Struct, frozen=True):
    submitters: list[Submitter]

    def named(self, name: str) -> Submitter | None:
        return next((one for one in self.submitters if one.name == name), None)


def load(path: str) -> Site:
    """Read `<tickets>` with one `<submitter>` each; `types` and `zones` are lists of words. Raises
    SettingsError: the file, the element, and what was expected."""
    root = read_xml(path, "tickets")
    known = {field.encode_name for field in msgspec.structs.fields(Submitter)}
    submitters: list[Submitter] = []
    for number, element in enumerate(root, 1):
        where = f"{path}: submitter {number}"
        if element.tag != "submitter":
            raise SettingsError(f"{path}: element <{element.tag}>: expected <submitter>")
        values = read_plain_elements(where, element, known, ("types", "zones"))
        try:
            made = msgspec.convert(values, Submitter, strict=False)
        except msgspec.ValidationError as error:
            raise SettingsError(f"{where}: {error}") from error
        if any(made.name == other.name for other in submitters):
            raise SettingsError(f"{where}: the name {made.name!r} is given twice")
        submitters.append(made)
    return Site(submitters)
