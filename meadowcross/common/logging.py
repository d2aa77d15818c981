"""Logging to standard error: every line names the node and the slice."""

from __future__ import annotations

import logging
import os
import sys

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def configure_logging(node_name: str) -> None:
    """Send everything to standard error at the level that LOG_LEVEL names."""
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(f"%(levelname).1s {node_name} %(name)s: %(message)s"))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def get_logger(component: str) -> logging.Logger:
    return logging.getLogger(component)
