"""Parses and validates a ticket's job template with the library of the Open Job Description format.

Limits of size, depth and number are checked before the library expands any part of the template. YAML features beyond
plain values (anchors, aliases, tags, several documents, duplicate keys) are rejected in the event stream, so that no
object is built from them.
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
"""The protocol's limit of a request body."""
MAX_DEPTH = 24
MAX_STEPS = 64
MAX_PARAMETERS = 200
SUPPORTED_EXTENSIONS = ("TASK_CHUNKING",)
SPECIFICATION_VERSION = "jobtemplate-2023-09"
PLAIN_YAML_TAGS = {f"tag:yaml.org,2002:{name}" for name in ("str", "int", "float", "bool", "null", "seq", "map")}


class TicketError(Exception):
    """A ticket is rejected: the field, the reason, and what to write instead."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


def _line_of(event: Any) -> str:
    return f"line {event.start_mark.line + 1}"


def _check_events(text: str) -> None:
    """Check that a YAML text is a single tree of plain values. Raises TicketError."""
    documents = 0
    # For each open collection: the keys of a mapping (None for a sequence), and whether a key comes next.
    open_collections: list[tuple[set[str] | None, bool]] = []
    for event in yaml.parse(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader)):
        if isinstance(event, yaml.DocumentStartEvent):
            documents += 1
            if documents > 1:
                raise TicketError(_line_of(event), "a second document; expected one")
        if isinstance(event, yaml.AliasEvent) or getattr(event, "anchor", None) is not None:
            raise TicketError(_line_of(event), "anchors and aliases are not taken; write the value out")
        if isinstance(event, yaml.CollectionEndEvent):
            open_collections.pop()
            continue
        if not isinstance(event, yaml.NodeEvent):
            continue
        if event.tag is not None and event.tag not in PLAIN_YAML_TAGS:
            raise TicketError(_line_of(event), f"tag {event.tag} is not taken; write a plain value")
        if open_collections:
            keys, is_key_next = open_collections[-1]
            if keys is not None:
                if is_key_next:
                    if not isinstance(event, yaml.ScalarEvent):
                        raise TicketError(_line_of(event), "a key that is no text")
                    if event.value in keys:
                        raise TicketError(_line_of(event), f"key {event.value[:60]!r} given twice")
                    keys.add(event.value)
                open_collections[-1] = (keys, not is_key_next)
        if isinstance(event, yaml.CollectionStartEvent):
            open_collections.append((set(), True) if isinstance(event, yaml.MappingStartEvent) else (None, False))
            if len(open_collections) > MAX_DEPTH:
                raise TicketError(_line_of(event), f"nested deeper than {MAX_DEPTH}")


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    mapping: dict[str, Any] = {}
    for key, value in pairs:
        if key in mapping:
            raise TicketError("document", f"key {key[:60]!r} given twice")
        mapping[key] = value
    return mapping


def _check_depth(value: Any, level: int = 1) -> None:
    if level > MAX_DEPTH:
        raise TicketError("document", f"nested deeper than {MAX_DEPTH}")
    for inner in value.values() if isinstance(value, dict) else value if isinstance(value, list) else ():
        _check_depth(inner, level + 1)


def parse_document(raw: bytes) -> dict[str, Any]:
    """Parse a JSON or YAML document into plain values. Raises TicketError."""
    if len(raw) > MAX_BYTES:
        raise TicketError("document", f"{len(raw)} bytes; at most {MAX_BYTES}")
    try:
        text = raw.decode()
    except UnicodeDecodeError as error:
        raise TicketError("document", f"not UTF-8 at byte {error.start}") from error
    is_json = text.lstrip().startswith("{")
    try:
        if is_json:
            _check_depth(json.loads(text, object_pairs_hook=_reject_duplicate_keys))
        else:
            _check_events(text)
        kind = model.DocumentType.JSON if is_json else model.DocumentType.YAML
        return dict(model.document_string_to_object(document=text, document_type=kind))
    except TicketError:
        raise
    except RecursionError as error:
        raise TicketError("document", f"nested deeper than {MAX_DEPTH}") from error
    except Exception as error:
        raise TicketError("document", format_one_line(error)) from error


def format_one_line(error: Exception) -> str:
    """The message of a library's error as one line of at most 300 characters."""
    return (" ".join(str(error).split()) or type(error).__name__)[:300]


def _first_error(error: Exception, fallback: str) -> TicketError:
    """Convert the first error of the library's message; `fallback` is the field if the message names none."""
    lines = str(error).split("\n")
    for i, line in enumerate(lines[:-1]):
        # A line such as "steps[0] -> script -> actions:" is followed by the indented error of that field.
        if line.endswith(":") and lines[i + 1].startswith("\t") and "validation error" not in line:
            return TicketError(line[:-1].replace(" -> ", ".")[:200], lines[i + 1].strip()[:300])
    parameter_match = re.search(r"for parameter ([A-Za-z0-9_]+)", str(error))
    return TicketError(f"parameters.{parameter_match[1]}" if parameter_match else fallback, format_one_line(error))


def _check_graph(steps: Any) -> None:
    """Reject cycles and unknown steps in the dependencies, with the names of the steps.

    The library validates the shape of the template, but its error for a cycle names no step. Raises TicketError.
    """
    if not isinstance(steps, list):
        return
    graph: dict[str, list[str]] = {}
    for i, step in enumerate(steps):
        if isinstance(step, dict) and isinstance(step.get("name"), str):
            listed = step.get("dependencies")
            dependencies = [
                dependency["dependsOn"]
                for dependency in (listed if isinstance(listed, list) else [])
                if isinstance(dependency, dict) and isinstance(dependency.get("dependsOn"), str)
            ]
            if step["name"] in dependencies:
                raise TicketError(f"steps[{i}].dependencies", f"step {step['name'][:60]!r} depends on itself")
            graph[step["name"]] = dependencies
    for i, dependencies in enumerate(graph.values()):
        for other in dependencies:
            if other not in graph:
                raise TicketError(f"steps[{i}].dependencies", f"no step is named {other[:60]!r}")
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        cycle = " -> ".join(name[:40] for name in error.args[1][:8])
        raise TicketError("steps", f"dependencies form a cycle: {cycle}") from error


def create_job(raw: bytes, parameters: Mapping[str, str]) -> Any:
    """Create the library's job object from a ticket, with its parameter values.

    The library applies defaults and checks bounds; task parameter spaces are not expanded. Raises TicketError.
    """
    content = parse_document(raw)
    version = content.get("specificationVersion")
    if version != SPECIFICATION_VERSION:
        raise TicketError("specificationVersion", f"{str(version)[:60]!r}; expected {SPECIFICATION_VERSION!r}")
    steps = content.get("steps")
    if isinstance(steps, list) and len(steps) > MAX_STEPS:
        raise TicketError("steps", f"{len(steps)} steps; at most {MAX_STEPS}")
    if len(parameters) > MAX_PARAMETERS:
        raise TicketError("parameters", f"{len(parameters)} given; at most {MAX_PARAMETERS}")
    _check_graph(steps)
    try:
        template = model.decode_job_template(template=content, supported_extensions=SUPPORTED_EXTENSIONS)
    except Exception as error:
        raise _first_error(error, "template") from error
    try:
        values = model.preprocess_job_parameters(
            job_template=template,
            job_parameter_values=dict(parameters),
            # The gateway doesn't have the submitter's files, so paths are not resolved.
            job_template_dir=Path(),
            current_working_dir=Path(),
            allow_job_template_dir_walk_up=True,
        )
    except Exception as error:
        raise _first_error(error, "parameters") from error
    try:
        return model.create_job(job_template=template, job_parameter_values=values)
    except Exception as error:
        raise _first_error(error, "steps") from error


def count_tasks(step: Any, field: str) -> int:
    """Count the tasks of a step without expanding them. Raises TicketError."""
    try:
        return len(model.StepParameterSpaceIterator(space=step.parameterSpace))
    except OverflowError as error:
        raise TicketError(field, "more tasks than can be counted") from error
    except Exception as error:
        raise TicketError(field, format_one_line(error)) from error


def compute_task_parameters(step: Any, number: int) -> dict[str, str]:
    """The parameter values of the task with this number, counted from 0."""
    values = model.StepParameterSpaceIterator(space=step.parameterSpace)[number]
    return {name: str(value.value) for name, value in sorted(values.items())}
