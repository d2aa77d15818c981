"""Makes `python3 -m meadowcross` run the command `meadowcross`."""

import sys

from meadowcross.cli import main

if __name__ == "__main__":
    sys.exit(main())
