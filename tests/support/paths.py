"""Paths of the repository."""

from __future__ import annotations

import pathlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
"""The root directory of the repository."""
