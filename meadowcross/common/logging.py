"""Logging to standard error. Each line has the level, the node's name, the component and the message."""

from __future__ import annotations

import logging
import os
import sys

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def configure_logging(node_name: str) -> None:
    """Configure the root logger. The environment variable LOG_LEVEL sets the level: `error`, `info` or `debug`.

    Without LOG_LEVEL, or with any other value, the level is `info`.
    """
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(f"%(levelname).1s {node_name} %(name)s: %(message)s"))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def get_logger(component: str) -> logging.Logger:
    """Return the logger of a component, whose name appears in the log lines."""
    return logging.getLogger(component)
