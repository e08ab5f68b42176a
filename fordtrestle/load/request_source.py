"""Encodes the requests of a worker ahead of their send times, so that sending one is a single system call."""

from __future__ import annotations

import os
import random
from collections import deque

from fordtrestle.load.job import WorkerJob
from fordtrestle.load.request_state import RequestState
from fordtrestle.load.retry_policy import RetryPolicy
from fordtrestle.load.wire import RequestHead, RequestTemplate

MAX_PREPARED = 512  # enough for a burst that leaves no time to prepare more; some kilobytes each


class RequestSource:
    """The requests of a worker in order of their intended send times.

    Attributes:
        is_exhausted: Whether the last request has been prepared.
    """

    def __init__(self, job: WorkerJob, policy: RetryPolicy) -> None:
        spec = job.schedule.spec
        self._policy = policy
        self._semantics = [each.semantics for each in spec.classes]
        self._heads = [
            RequestHead(each.name, each.semantics, each.path, spec.host).encode() for each in spec.classes
        ]
        self._class_indexes = {each.name: index for index, each in enumerate(spec.classes)}
        self._tenant_indexes = {name: index for index, name in enumerate(job.schedule.tenants)}
        # Ids must differ between runs, since servers remember idempotency keys for longer than a run.
        self._ids = random.Random(os.urandom(16))
        self._requests = job.requests()
        self._prepared: deque[RequestState] = deque()
        self.is_exhausted = False
        while self.can_prepare() and self.prepare():
            pass

    def can_prepare(self) -> bool:
        """Return whether there is room to prepare another request and the schedule is not exhausted."""
        return len(self._prepared) < MAX_PREPARED and not self.is_exhausted

    def prepare(self) -> bool:
        """Prepare the next request; return False if the schedule is exhausted."""
        request = next(self._requests, None)
        if request is None:
            self.is_exhausted = True
            return False
        class_index = self._class_indexes[request.class_name]
        template = RequestTemplate(
            self._heads[class_index],
            self._semantics[class_index],
            request.tenant,
            request.key,
            self.new_id(),
            request.size,
        )
        budget_us = self._policy.attempt_budget_us(request.budget_us)
        message = template.encode_attempt(self.new_id(), budget_us, False)
        tenant_index = self._tenant_indexes[request.tenant]
        self._prepared.append(RequestState(request, class_index, tenant_index, template, message))
        return True

    def first_at_us(self) -> int | None:
        """Return when the next request is due, in microseconds from the start; None if there are no more."""
        if not self._prepared and not self.is_exhausted:
            self.prepare()
        return self._prepared[0].at_us if self._prepared else None

    def pop(self) -> RequestState:
        """Remove the next request and return it; at least one must be prepared."""
        return self._prepared.popleft()

    def new_id(self) -> str:
        """Return a random id of 16 hexadecimal digits."""
        return f"{self._ids.getrandbits(64):016x}"
