"""A ticket's document, read and checked by the format's own library, within limits that hold before
anything is expanded.

What YAML can do beyond plain values (anchors and aliases, tags, several documents, a key given twice) is
refused from the stream of events, so that nothing of it is ever built.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from graphlib import CycleError, TopologicalSorter
from pathlib import Path
from typing import Any

import yaml
from openjd import model

MAX_BYTES = 64 * 1024
"""As the protocol bounds a request's body."""
MAX_DEPTH = 24
MAX_STEPS = 64
MAX_PARAMETERS = 200
EXTENSIONS = ("TASK_CHUNKING",)
VERSION = "jobtemplate-2023-09"
PLAIN_TAGS = {f"tag:yaml.org,2002:{name}" for name in ("str", "int", "float", "bool", "null", "seq", "map")}


class TicketError(Exception):
    """Why a ticket is refused: the field, what is wrong with it, and what to write instead."""

    def __init__(self, field: str, what: str) -> None:
        super().__init__(f"{field}: {what}")
        self.field = field
        self.what = what


def _line(event: Any) -> str:
    return f"line {event.start_mark.line + 1}"


def _check_events(text: str) -> None:
    """Refuse what is not a plain tree; raises TicketError."""
    documents = 0
    # One frame an open collection: the keys of a mapping, and whether a key comes next.
    open_: list[tuple[set[str] | None, bool]] = []
    for event in yaml.parse(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader)):
        if isinstance(event, yaml.DocumentStartEvent):
            documents += 1
            if documents > 1:
                raise TicketError(_line(event), "a second document; expected one")
        if isinstance(event, yaml.AliasEvent) or getattr(event, "anchor", None) is not None:
            raise TicketError(_line(event), "anchors and aliases are not taken; write the value out")
        if isinstance(event, yaml.CollectionEndEvent):
            open_.pop()
            continue
        if not isinstance(event, yaml.NodeEvent):
            continue
        if event.tag is not None and event.tag not in PLAIN_TAGS:
            raise TicketError(_line(event), f"tag {event.tag} is not taken; write a plain value")
        if open_:
            keys, key_next = open_[-1]
            if keys is not None:
                if key_next:
                    if not isinstance(event, yaml.ScalarEvent):
                        raise TicketError(_line(event), "a key that is no text")
                    if event.value in keys:
                        raise TicketError(_line(event), f"key {event.value[:60]!r} given twice")
                    keys.add(event.value)
                open_[-1] = (keys, not key_next)
        if isinstance(event, yaml.CollectionStartEvent):
            open_.append((set(), True) if isinstance(event, yaml.MappingStartEvent) else (None, False))
            if len(open_) > MAX_DEPTH:
                raise TicketError(_line(event), f"nested deeper than {MAX_DEPTH}")


def _no_repeats(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    made: dict[str, Any] = {}
    for key, value in pairs:
        if key in made:
            raise TicketError("document", f"key {key[:60]!r} given twice")
        made[key] = value
    return made


def _depth(value: Any, level: int = 1) -> None:
    if level > MAX_DEPTH:
        raise TicketError("document", f"nested deeper than {MAX_DEPTH}")
    for inner in value.values() if isinstance(value, dict) else value if isinstance(value, list) else ():
        _depth(inner, level + 1)


def document(raw: bytes) -> dict[str, Any]:
    """The document as plain values. Raises TicketError."""
    if len(raw) > MAX_BYTES:
        raise TicketError("document", f"{len(raw)} bytes; at most {MAX_BYTES}")
    try:
        text = raw.decode()
    except UnicodeDecodeError as error:
        raise TicketError("document", f"not UTF-8 at byte {error.start}") from error
    is_json = text.lstrip().startswith("{")
    try:
        if is_json:
            _depth(json.loads(text, object_pairs_hook=_no_repeats))
        else:
            _check_events(text)
        kind = model.DocumentType.JSON if is_json else model.DocumentType.YAML
        return dict(model.document_string_to_object(document=text, document_type=kind))
    except TicketError:
        raise
    except RecursionError as error:
        raise TicketError("document", f"nested deeper than {MAX_DEPTH}") from error
    except Exception as error:
        raise TicketError("document", one_line(error)) from error


def one_line(error: Exception) -> str:
    """A library's message as one line of bounded length."""
    return (" ".join(str(error).split()) or type(error).__name__)[:300]


def _first(error: Exception, fallback: str) -> TicketError:
    """The first of the library's errors, by the field that it names."""
    lines = str(error).split("\n")
    for i, line in enumerate(lines[:-1]):
        # "steps[0] -> script -> actions:" and below it, indented, what is wrong.
        if line.endswith(":") and lines[i + 1].startswith("\t") and "validation error" not in line:
            return TicketError(line[:-1].replace(" -> ", ".")[:200], lines[i + 1].strip()[:300])
    named = re.search(r"for parameter ([A-Za-z0-9_]+)", str(error))
    return TicketError(f"parameters.{named[1]}" if named else fallback, one_line(error))


def _check_graph(steps: Any) -> None:
    """Cycles and unknown steps, by name; shapes are the library's matter. Its own check of cycles ends in an
    error that names nothing."""
    if not isinstance(steps, list):
        return
    after: dict[str, list[str]] = {}
    for i, step in enumerate(steps):
        if isinstance(step, dict) and isinstance(step.get("name"), str):
            listed = step.get("dependencies")
            names = [
                one["dependsOn"]
                for one in (listed if isinstance(listed, list) else [])
                if isinstance(one, dict) and isinstance(one.get("dependsOn"), str)
            ]
            if step["name"] in names:
                raise TicketError(f"steps[{i}].dependencies", f"step {step['name'][:60]!r} depends on itself")
            after[step["name"]] = names
    for i, names in enumerate(after.values()):
        for other in names:
            if other not in after:
                raise TicketError(f"steps[{i}].dependencies", f"no step is named {other[:60]!r}")
    try:
        TopologicalSorter(after).prepare()
    except CycleError as error:
        ring = " -> ".join(name[:40] for name in error.args[1][:8])
        raise TicketError("steps", f"dependencies form a cycle: {ring}") from error


def job_of(raw: bytes, parameters: Mapping[str, str]) -> Any:
    """The library's job for a ticket: parameters filled in, defaults and bounds as the format says, task parameter
    spaces not expanded. Raises TicketError."""
    made = document(raw)
    version = made.get("specificationVersion")
    if version != VERSION:
        raise TicketError("specificationVersion", f"{str(version)[:60]!r}; expected {VERSION!r}")
    steps = made.get("steps")
    if isinstance(steps, list) and len(steps) > MAX_STEPS:
        raise TicketError("steps", f"{len(steps)} steps; at most {MAX_STEPS}")
    if len(parameters) > MAX_PARAMETERS:
        raise TicketError("parameters", f"{len(parameters)} given; at most {MAX_PARAMETERS}")
    _check_graph(steps)
    try:
        template = model.decode_job_template(template=made, supported_extensions=EXTENSIONS)
    except Exception as error:
        raise _first(error, "template") from error
    try:
        values = model.preprocess_job_parameters(
            job_template=template,
            job_parameter_values=dict(parameters),
            # The submitter's files are not here: paths stay as they are written.
            job_template_dir=Path(),
            current_working_dir=Path(),
            allow_job_template_dir_walk_up=True,
        )
    except Exception as error:
        raise _first(error, "parameters") from error
    try:
        return model.create_job(job_template=template, job_parameter_values=values)
    except Exception as error:
        raise _first(error, "steps") from error


def task_count(step: Any, field: str) -> int:
    """How many tasks a step has, without expanding them. Raises TicketError."""
    try:
        return len(model.StepParameterSpaceIterator(space=step.parameterSpace))
    except OverflowError as error:
        raise TicketError(field, "more tasks than can be counted") from error
    except Exception as error:
        raise TicketError(field, one_line(error)) from error


def task_parameters(step: Any, number: int) -> dict[str, str]:
    """The parameters of one task, worked out from its number."""
    found = model.StepParameterSpaceIterator(space=step.parameterSpace)[number]
    return {name: str(value.value) for name, value in sorted(found.items())}
