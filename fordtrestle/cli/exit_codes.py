"""Exit codes that the commands share. Pure.

They are plain integers rather than an enumeration: they are passed to `sys.exit` and compared by scripts.
"""

from __future__ import annotations

EXIT_DONE = 0
EXIT_FAILED = 1  # the command failed, or a bound of the load was not met
EXIT_BAD_INPUT = 2  # the same as argparse's exit code for bad usage
