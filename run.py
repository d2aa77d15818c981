"""Entry point of meadowcross: `python3 run.py --config FILE`."""

import os
import sys

_DEPS = os.path.join(os.path.dirname(os.path.abspath(__file__)), "target", "deps")
if os.path.isdir(_DEPS):
    sys.path.insert(0, _DEPS)

from meadowcross.app import main  # noqa: E402  (the path above comes first)

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
