"""Exit codes that the commands share. Pure.

Plain integers rather than an enumeration: they are handed to `sys.exit` and compared by callers' scripts.
"""

from __future__ import annotations

EXIT_DONE = 0
EXIT_FAILED = 1  # the command failed, or a bound of the load was not met
EXIT_BAD_INPUT = 2  # also argparse's own code for bad usage
