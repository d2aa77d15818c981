"""Logging to standard error: each line carries level, node name, component and message."""

from __future__ import annotations

import logging
import os
import sys

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def configure_logging(node_name: str) -> None:
    """Configure the root logger; the level is taken from LOG_LEVEL (`error`, `info` or `debug`; `info` by default)."""
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(f"%(levelname).1s {node_name} %(name)s: %(message)s"))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def get_logger(component: str) -> logging.Logger:
    """The logger of a component, named as in the log lines."""
    return logging.getLogger(component)
