"""Entry point of meadowcross: `python3 run.py --config FILE`."""

import os
import sys

_HERE = os.path.dirname(os.path.abspath(__file__))
_DEPS = os.path.join(_HERE, "target", "deps")
_COMPILED = os.path.join(_HERE, "target", "app")


def _is_copy(path: str, copy: str) -> bool:
    """Whether every source under `path` stands under `copy`, written at the same time."""
    for folder, folders, names in os.walk(path):
        folders[:] = [name for name in folders if name != "__pycache__"]
        there = os.path.join(copy, os.path.relpath(folder, path))
        for name in names:
            try:
                if os.stat(os.path.join(there, name)).st_mtime != os.stat(os.path.join(folder, name)).st_mtime:
                    return False
            except OSError:
                return False
    return True


if os.path.isdir(_DEPS):
    sys.path.insert(0, _DEPS)
if _is_copy(os.path.join(_HERE, "meadowcross"), os.path.join(_COMPILED, "meadowcross")):
    # The build's compiled copy: compiling our own package took a third of a start, and
    # nothing may be written beside the sources. Where they were changed since, they count.
    sys.path.insert(0, _COMPILED)

from meadowcross.controller.main import main  # noqa: E402  (the paths above come first)

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
