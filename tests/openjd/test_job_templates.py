"""Job templates: parsing, rejections that name the field, and the mapping of steps to native jobs."""

from __future__ import annotations

import json
import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from meadowcross.autoscaling.messages import decode_machine_types
from meadowcross.cli import main
from meadowcross.common.settings import SettingsError, Team
from meadowcross.jobs import messages as job_messages
from meadowcross.jobs.admission import rejection_reason
from meadowcross.jobs.messages import decode_spec, encode
from meadowcross.openjd.plan import build_job_spec, build_plan
from meadowcross.openjd.site import load_site
from meadowcross.openjd.template import MAX_BYTES, TicketError, compute_task_parameters, create_job
from simulation.standins import TYPES
from tests.support.paths import ROOT

SITE = load_site(str(ROOT / "deploy" / "tickets.xml"))
AGENCY = SITE.submitters[0]
EXAMPLES = sorted((ROOT / "examples" / "tickets").iterdir())
MACHINE_TYPES = decode_machine_types(encode({"builds": TYPES})).types
EXTENDED_EXAMPLES = int(os.environ.get("MEADOWCROSS_EXAMPLES", "0"))

HEADER = "specificationVersion: jobtemplate-2023-09\nname: x\n"
SCRIPT = "  script: {actions: {onRun: {command: echo}}}\n"
STEP = "steps:\n- name: a\n" + SCRIPT


def assert_acceptable(plan):
    """Check that a controller would accept the job of every step, and return the plan."""
    for number in range(len(plan.steps)):
        spec = decode_spec(encode(build_job_spec(plan, number, f"wk-{number:06d}", AGENCY)))
        assert rejection_reason(spec, {"b": Team("b")}, MACHINE_TYPES, ["east", "west"]) is None
        assert (spec.team, spec.job_class, spec.priority) == ("b", "thumbnail", job_messages.Priority.NORMAL)
    return plan


EXPECTED_STEPS = {
    # example: number of tasks of each step, and the dependencies of each step
    "01-one-step.yaml": ([1], [[]]),
    "02-frames.yaml": ([100], [[]]),
    "03-chunks.yaml": ([20], [[]]),
    "04-two-parameters.yaml": ([6], [[]]),
    "05-paired.yaml": ([3], [[]]),
    "06-chain.yaml": ([1, 8, 1], [[], [0], [1]]),
    "07-diamond.yaml": ([1, 1, 1, 1], [[], [0], [0], [1, 2]]),
    "08-host.yaml": ([1], [[]]),
    "09-zone-and-type.yaml": ([1], [[]]),
    "10-files-and-environment.yaml": ([1], [[]]),
    "11-bounded-parameters.yaml": ([1], [[]]),
    "12-json.json": ([16], [[]]),
}


@pytest.mark.parametrize("file", EXAMPLES, ids=[file.name for file in EXAMPLES])
def test_every_example_maps_to_acceptable_jobs(file, capsys):
    plan = assert_acceptable(build_plan(file.read_bytes(), {}, AGENCY))
    assert ([s.tasks for s in plan.steps], [s.dependencies for s in plan.steps]) == EXPECTED_STEPS[file.name]
    arguments = [str(file), "--site", str(ROOT / "deploy" / "tickets.xml")]
    assert main(["ticket", "check", *arguments]) == 0 and main(["ticket", "explain", *arguments]) == 0
    assert plan.name in capsys.readouterr().out
    assert main(["ticket", "check", "--json", *arguments]) == 0
    assert json.loads(capsys.readouterr().out)["team"] == "b"


def test_host_requirements_are_applied_to_the_job():
    host_step = build_plan((ROOT / "examples/tickets/08-host.yaml").read_bytes(), {}, AGENCY).steps[0]
    assert (
        host_step.cpus,
        host_step.memory_gb,
        host_step.gpus,
        host_step.types,
        host_step.zone,
    ) == (4.0, 8.0, 0.0, None, None)
    zone_plan = build_plan((ROOT / "examples/tickets/09-zone-and-type.yaml").read_bytes(), {}, AGENCY)
    spec = build_job_spec(zone_plan, 0, "wk-000001", AGENCY)
    assert (spec.types, spec.zone, spec.cpus, spec.memory_gb) == (["small", "large"], "east", 1.0, 2.0)
    preserved = (
        build_plan((ROOT / "examples/tickets/10-files-and-environment.yaml").read_bytes(), {}, AGENCY)
        .steps[0]
        .preserved
    )
    assert preserved == ["script", "environments Tools", "files Script", "timeout 600 s"]


@pytest.mark.parametrize(
    ("file", "number", "parameters"),
    [
        ("02-frames.yaml", 41, {"Frame": "42"}),
        ("03-chunks.yaml", 19, {"Images": "951-1000"}),
        ("05-paired.yaml", 2, {"Name": "c", "Number": "3"}),
        ("01-one-step.yaml", 0, {}),
    ],
)
def test_task_parameters_are_computed_from_the_task_number(file, number, parameters):
    job = create_job((ROOT / "examples/tickets" / file).read_bytes(), {})
    assert compute_task_parameters(job.steps[0], number) == parameters


def template_with_ranges(first, second="1"):
    return (
        HEADER + "steps:\n- name: a\n  parameterSpace:\n    taskParameterDefinitions:\n"
        f'    - {{name: F, type: INT, range: "{first}"}}\n    - {{name: G, type: INT, range: "{second}"}}\n' + SCRIPT
    )


def template_with_requirements(amounts="", attributes=""):
    requirements = f"amounts: [{amounts}]" if amounts else f"attributes: [{attributes}]"
    return HEADER + "steps:\n- name: a\n  hostRequirements:\n    " + requirements + "\n" + SCRIPT


TEMPLATE_WITH_PARAMETER = HEADER + "parameterDefinitions:\n- {name: N, type: INT, maxValue: 5}\n" + STEP
REJECTED_TICKETS = [
    # name, document, parameters, expected field, a word of the expected reason
    ("not YAML", "a: [1", {}, "document", ""),
    ("a list", "[1, 2]", {}, "document", ""),
    ("empty", "", {}, "document", ""),
    ("no text", b"\xff\xfe", {}, "document", "UTF-8"),
    ("too large", HEADER + "# " + "x" * MAX_BYTES, {}, "document", "at most"),
    ("an alias", HEADER + "description: &a x\n" + STEP, {}, "line 3", "aliases"),
    ("a bomb", "a: &a [x,x]\nb: &b [*a,*a]\nc: [*b,*b]\n", {}, "line 1", "aliases"),
    ("a tag", HEADER + "description: !!python/object:os.system x\n" + STEP, {}, "line 3", "tag"),
    ("two documents", HEADER + STEP + "---\n" + HEADER + STEP, {}, "line", "second"),
    ("a key twice", HEADER + "name: y\n" + STEP, {}, "line 3", "twice"),
    ("a key twice in JSON", '{"name": "a", "name": "b"}', {}, "document", "twice"),
    ("deep", "a: " + "[" * 40 + "]" * 40, {}, "line 1", "deeper"),
    ("deep JSON", '{"a": ' + "[" * 9000 + "]" * 9000 + "}", {}, "document", ""),
    ("another version", "specificationVersion: jobtemplate-2029-01\nname: x\n", {}, "specificationVersion", "2023-09"),
    ("an environment", "specificationVersion: environment-2023-09\n", {}, "specificationVersion", "expected"),
    ("an unknown extension", HEADER + "extensions: [NONSENSE]\n" + STEP, {}, "extensions", "NONSENSE"),
    ("an unknown field", HEADER + STEP + "  colour: red\n", {}, "steps[0].colour", "not permitted"),
    ("a wrong type", HEADER + "steps: 3\n", {}, "steps", ""),
    ("no steps", HEADER + "steps: []\n", {}, "steps", ""),
    ("many steps", HEADER + "steps:\n" + "".join(f"- name: s{i}\n{SCRIPT}" for i in range(65)), {}, "steps", "at most"),
    ("no command", HEADER + "steps:\n- name: a\n  script: {actions: {onRun: {}}}\n", {}, "command", "required"),
    (
        "a cycle",
        HEADER
        + "steps:\n- name: a\n  dependencies: [{dependsOn: b}]\n"
        + SCRIPT
        + "- name: b\n  dependencies: [{dependsOn: a}]\n"
        + SCRIPT,
        {},
        "steps",
        "cycle",
    ),
    ("itself", HEADER + "steps:\n- name: a\n  dependencies: [{dependsOn: a}]\n" + SCRIPT, {}, "steps[0]", "itself"),
    (
        "an unknown step",
        HEADER + "steps:\n- name: a\n  dependencies: [{dependsOn: b}]\n" + SCRIPT,
        {},
        "steps[0]",
        "'b'",
    ),
    ("no tasks", template_with_ranges(""), {}, "range", ""),
    (
        "a billion billion tasks",
        template_with_ranges("1-1000000000", "1-1000000000"),
        {},
        "steps[0].parameterSpace",
        "may have 1000",
    ),
    (
        "more than can be counted",
        template_with_ranges("1-9000000000000", "1-9000000000000"),
        {},
        "steps[0].parameterSpace",
        "",
    ),
    ("a parameter too large", TEMPLATE_WITH_PARAMETER, {"N": "9"}, "parameters.N", "at most 5"),
    ("a parameter missing", TEMPLATE_WITH_PARAMETER, {}, "parameters", "N"),
    ("a parameter too many", HEADER + STEP, {"Z": "1"}, "parameters", "Z"),
    (
        "a maximum",
        template_with_requirements("{name: amount.worker.vcpu, min: 1, max: 4}"),
        {},
        "amounts[0].max",
        "leave max out",
    ),
    (
        "too many CPUs",
        template_with_requirements("{name: amount.worker.vcpu, min: 17}"),
        {},
        "amounts[0].min",
        "may have 16",
    ),
    (
        "too much memory",
        template_with_requirements("{name: amount.worker.memory, min: 66000}"),
        {},
        "amounts[0].min",
        "may have 65536",
    ),
    (
        "scratch space",
        template_with_requirements("{name: amount.worker.disk.scratch, min: 1}"),
        {},
        "amounts[0].name",
        "ask for",
    ),
    (
        "windows",
        template_with_requirements("", "{name: attr.worker.os.family, anyOf: [windows]}"),
        {},
        "attributes[0]",
        "linux",
    ),
    (
        "two zones",
        template_with_requirements("", "{name: attr.meadowcross.zone, anyOf: [east, west]}"),
        {},
        "attributes[0]",
        "one zone",
    ),
    (
        "a foreign zone",
        template_with_requirements("", "{name: attr.meadowcross.zone, anyOf: [mars]}"),
        {},
        "attributes[0]",
        "east, west",
    ),
    (
        "a foreign type",
        template_with_requirements("", "{name: attr.meadowcross.type, anyOf: [huge]}"),
        {},
        "attributes[0]",
        "small",
    ),
    (
        "an unknown attribute",
        template_with_requirements("", "{name: attr.mine, anyOf: [x]}"),
        {},
        "attributes[0].name",
        "not known",
    ),
]


@pytest.mark.parametrize(
    ("text", "parameters", "field", "word"), [r[1:] for r in REJECTED_TICKETS], ids=[r[0] for r in REJECTED_TICKETS]
)
def test_invalid_ticket_is_rejected_in_one_line_naming_the_field(text, parameters, field, word, tmp_path, capsys):
    raw = text if isinstance(text, bytes) else text.encode()
    with pytest.raises(TicketError) as rejection:
        build_plan(raw, parameters, AGENCY)
    assert field in rejection.value.field and word in rejection.value.reason
    file = tmp_path / "ticket"
    file.write_bytes(raw)
    parameter_options = [part for name, value in parameters.items() for part in ("-p", f"{name}={value}")]
    assert main(["ticket", "check", str(file), "--site", str(ROOT / "deploy/tickets.xml"), *parameter_options]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


INVALID_SITES = [
    ("<x/>", "expected <tickets>"),
    ("<tickets><submitter><name>a</name></submitter></tickets>", "missing"),
    ("<tickets><submitter><name>a</name><name>b</name></submitter></tickets>", "twice"),
    ("<tickets><submitter><secret>a</secret></submitter></tickets>", "unknown"),
    ("<tickets><other/></tickets>", "expected <submitter>"),
    ('<!DOCTYPE x [<!ENTITY e "x">]><tickets>&e;</tickets>', "refused"),
    ("<tickets>", "well-formed"),
]


@pytest.mark.parametrize(("text", "word"), INVALID_SITES, ids=[s[1] for s in INVALID_SITES])
def test_invalid_site_file_is_rejected_naming_the_element(text, word, tmp_path):
    file = tmp_path / "site.xml"
    file.write_text(text)
    with pytest.raises(SettingsError, match=word):
        load_site(str(file))


@pytest.mark.parametrize(
    ("arguments", "word"),
    [
        (["{0}", "-p", "X"], "NAME=VALUE"),
        (["{0}", "-p", "X=1", "-p", "X=2"], "twice"),
        (["{0}/none"], "can't be read"),
        (["{0}", "--submitter", "nobody"], "nobody"),
        (["{0}", "--site", "{0}/none"], "can't be read"),
    ],
)
def test_command_reports_errors_in_one_line(arguments, word, capsys):
    example = str(EXAMPLES[0])
    assert main(["ticket", "check", *[argument.format(example) for argument in arguments]]) == 2
    error_text = capsys.readouterr().err
    assert word in error_text and len(error_text.splitlines()) == 1


NAMES = st.sampled_from(["a", "b", "c", "Frame", "é", "", "x" * 70, "{{Param.N}}"])
RANGES = st.one_of(
    st.sampled_from(["1-10", "1-1000000", "10-1", "", "5", "1-10:3", "{{Param.N}}"]),
    st.lists(st.one_of(st.integers(-5, 5), NAMES), max_size=4),
)
AMOUNTS = st.fixed_dictionaries(
    {"name": st.sampled_from(["amount.worker.vcpu", "amount.worker.memory", "amount.worker.gpu", "amount.mine", "x"])},
    optional={"min": st.sampled_from([0, 1, 2.5, 16, 4096, -1, "x", 1e30]), "max": st.just(8)},
)
ATTRIBUTES = st.fixed_dictionaries(
    {"name": st.sampled_from(["attr.worker.os.family", "attr.meadowcross.zone", "attr.meadowcross.type", "attr.x"])},
    optional={
        "anyOf": st.lists(st.sampled_from(["linux", "east", "small", "mars"]), max_size=2),
        "allOf": st.lists(st.sampled_from(["linux", "east", "large"]), max_size=2),
    },
)
STEPS = st.fixed_dictionaries(
    {"name": NAMES, "script": st.sampled_from([{"actions": {"onRun": {"command": "x"}}}, {}, 3])},
    optional={
        "parameterSpace": st.fixed_dictionaries(
            {
                "taskParameterDefinitions": st.lists(
                    st.fixed_dictionaries(
                        {"name": NAMES, "type": st.sampled_from(["INT", "STRING", "CHUNK[INT]", "x"]), "range": RANGES}
                    ),
                    max_size=3,
                )
            }
        ),
        "dependencies": st.lists(st.fixed_dictionaries({"dependsOn": NAMES}), max_size=2),
        "hostRequirements": st.fixed_dictionaries(
            {}, optional={"amounts": st.lists(AMOUNTS, max_size=2), "attributes": st.lists(ATTRIBUTES, max_size=2)}
        ),
    },
)
TEMPLATES = st.fixed_dictionaries(
    {
        "specificationVersion": st.just("jobtemplate-2023-09"),
        "name": NAMES,
        "steps": st.lists(STEPS, min_size=1, max_size=4),
    },
    optional={
        "extensions": st.lists(st.sampled_from(["TASK_CHUNKING", "X"]), max_size=2),
        "parameterDefinitions": st.just([{"name": "N", "type": "STRING", "default": "1-5"}]),
    },
)


@settings(max_examples=EXTENDED_EXAMPLES or 200, deadline=None, derandomize=not EXTENDED_EXAMPLES)
@given(TEMPLATES)
def test_random_template_maps_to_acceptable_jobs_or_is_rejected_naming_a_field(template):
    raw = json.dumps(template).encode()
    try:
        plan = assert_acceptable(build_plan(raw, {}, AGENCY))
    except TicketError as error:
        assert error.field and error.reason and "\n" not in str(error) and len(str(error)) < 600
        return
    job = create_job(raw, {})
    for number, step in enumerate(plan.steps):
        assert set(compute_task_parameters(job.steps[number], step.tasks - 1)) is not None


@settings(max_examples=EXTENDED_EXAMPLES or 150, deadline=None, derandomize=not EXTENDED_EXAMPLES)
@given(st.one_of(st.binary(max_size=200), st.text("ab:{}[]&*!-\n \"'", max_size=80).map(str.encode)))
def test_random_bytes_are_rejected(raw):
    with pytest.raises(TicketError):
        build_plan(raw, {}, AGENCY)
