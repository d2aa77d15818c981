"""Entry point of meadowcross: `python3 run.py --config FILE`."""

import os
import sys

_PROJECT_DIRECTORY = os.path.dirname(os.path.abspath(__file__))
_DEPENDENCIES_DIRECTORY = os.path.join(_PROJECT_DIRECTORY, "target", "deps")
_COMPILED_DIRECTORY = os.path.join(_PROJECT_DIRECTORY, "target", "app")


def _is_copy(path: str, copy_path: str) -> bool:
    """Return whether every file under `path` exists under `copy_path` with the same modification time."""
    for directory, subdirectories, names in os.walk(path):
        subdirectories[:] = [name for name in subdirectories if name != "__pycache__"]
        copy_directory = os.path.join(copy_path, os.path.relpath(directory, path))
        for name in names:
            try:
                if (
                    os.stat(os.path.join(copy_directory, name)).st_mtime
                    != os.stat(os.path.join(directory, name)).st_mtime
                ):
                    return False
            except OSError:
                return False
    return True


if os.path.isdir(_DEPENDENCIES_DIRECTORY):
    sys.path.insert(0, _DEPENDENCIES_DIRECTORY)
if _is_copy(os.path.join(_PROJECT_DIRECTORY, "meadowcross"), os.path.join(_COMPILED_DIRECTORY, "meadowcross")):
    # The build's compiled copy: compiling the package took a third of the start-up time, and nothing may be written
    # beside the sources. The sources themselves are used if they changed after the build.
    sys.path.insert(0, _COMPILED_DIRECTORY)

from meadowcross.controller.main import main  # noqa: E402  (must follow the changes of sys.path)

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
