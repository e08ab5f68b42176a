"""Histories for tests, with events numbered as nodes number them."""

from __future__ import annotations

from rig.cluster.history import Acted, Draining, Ended, Learned, Started, Stored, Unstored

LIST = "list:s1"


class Log:
    """Builds the histories of several nodes."""

    def __init__(self):
        self.events = []
        self._numbers = {}

    def _next(self, node):
        self._numbers[node] = self._numbers.get(node, 0) + 1
        return self._numbers[node]

    def start(self, node, at, life=0):
        self._numbers[node] = 0
        self.events.append(Started(node, self._next(node), at, life))
        return self

    def act(self, node, at, version, rule=LIST, digest="", server="", what="pick", settings=""):
        number = self._next(node)
        self.events.append(
            Acted(node, number, at, rule, version, digest, what, server=server, settings=settings)
        )
        return self

    def learn(self, node, at, version, rule=LIST, digest="", form="all", **entries):
        self.events.append(Learned(node, self._next(node), at, rule, version, digest, form, entries))
        return self

    def store(self, node, at, version, rule=LIST, digest=""):
        self.events.append(Stored(node, self._next(node), at, rule, version, digest))
        return self

    def fail(self, node, at, rule=LIST):
        self.events.append(Unstored(node, self._next(node), at, rule, "EIO"))
        return self

    def drain(self, node, at):
        self.events.append(Draining(node, self._next(node), at))
        return self

    def end(self, node, at, clean=True):
        self.events.append(Ended(node, self._next(node) if clean else 0, at, clean))
        return self

    def kill(self, node, at):
        return self.end(node, at, clean=False)

    def lose(self, node, count):
        self._numbers[node] += count
        return self
