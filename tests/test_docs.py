"""Checks that paths, links, modules and classes named in the entry pages of the documentation exist."""

from __future__ import annotations

import ast
import importlib.util
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PAGES = ("README.md", "CONTRIBUTING.md", "docs/architecture.md")
PACKAGES = ("meadowcross", "simulation", "loadtest", "benchmarks")
PATH = re.compile(r"(?<![\w/])(?:meadowcross|docs|tests|deploy|examples|simulation|loadtest|benchmarks)/[\w.*/-]*\w")
LINK = re.compile(r"\]\(([^)#\s]+)(?:#([\w-]+))?\)")
MODULE = re.compile(r"python3? -m ([\w.]+)")
CLASS = re.compile(r"\b[A-Z][a-z]+(?:[A-Z][a-z]+)+\b")


def read_page(page: str) -> str:
    return (ROOT / page).read_text(encoding="utf-8")


def heading_anchors(page: Path) -> set[str]:
    """The anchors of a page's headings, as common Markdown renderers form them."""
    headings = re.findall(r"^#+ (.+)$", page.read_text(encoding="utf-8"), re.MULTILINE)
    return {re.sub(r"[^\w -]", "", heading.strip().lower()).replace(" ", "-") for heading in headings}


def defined_classes() -> set[str]:
    """Names of all classes in the source packages."""
    sources = [path for package in PACKAGES for path in (ROOT / package).rglob("*.py")]
    trees = [ast.parse(path.read_text(encoding="utf-8")) for path in sources]
    return {node.name for tree in trees for node in ast.walk(tree) if isinstance(node, ast.ClassDef)}


@pytest.mark.parametrize("page", PAGES)
def test_every_path_named_in_a_page_exists(page: str) -> None:
    named_paths = set(PATH.findall(read_page(page)))
    missing = [path for path in sorted(named_paths) if not any(ROOT.glob(path))]
    assert named_paths
    assert not missing


@pytest.mark.parametrize("page", PAGES)
def test_every_link_in_a_page_points_to_an_existing_file_and_heading(page: str) -> None:
    broken = []
    for target, anchor in LINK.findall(read_page(page)):
        if "://" in target:
            continue
        file = (ROOT / page).parent / target
        if not file.exists() or (anchor and anchor not in heading_anchors(file)):
            broken.append((target, anchor))
    assert not broken


@pytest.mark.parametrize("page", PAGES)
def test_every_module_run_in_a_page_can_be_imported(page: str) -> None:
    modules = set(MODULE.findall(read_page(page)))
    missing = [name for name in sorted(modules) if importlib.util.find_spec(name) is None]
    assert not missing


def test_every_class_named_in_the_architecture_page_is_defined() -> None:
    named_classes = set(CLASS.findall(read_page("docs/architecture.md")))
    assert named_classes
    assert not named_classes - defined_classes()
