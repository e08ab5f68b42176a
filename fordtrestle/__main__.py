"""`python -m fordtrestle` is the daemon; with words, the command line."""

import sys


def main(words: list[str]) -> int:
    """Do what the words ask; the exit code. Without any, the command line is not even loaded."""
    if words:
        from fordtrestle import cli

        return cli.main(words)
    from fordtrestle.proxy.daemon.signals import Signals

    signals = Signals()
    signals.install()  # before the rest is loaded, which takes a while
    from fordtrestle.proxy.daemon import sidecar

    return sidecar.main(signals)


def entry() -> int:
    """What the installed command `fordtrestle` calls."""
    return main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(entry())
