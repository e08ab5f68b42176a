"""The process of a worker: it reports that it is ready, is told when to start, and ends with a summary."""

from __future__ import annotations

import gc
import json
import os
import resource
from dataclasses import asdict
from multiprocessing.connection import Connection as Pipe

from fordtrestle.load.job import WorkerJob
from fordtrestle.load.sample_writer import SampleWriter
from fordtrestle.load.samples import FAILURE, FRAME, READY, SUMMARY
from fordtrestle.load.worker import Worker


def main(job: WorkerJob, control: Pipe, pipe: Pipe) -> None:
    """Run a worker.

    Args:
        job: What to send.
        control: Brings the start on the monotonic clock in nanoseconds; anything more stops the run.
        pipe: Takes frames (`samples.py`).
    """
    _raise_descriptor_limit()
    samples = SampleWriter(pipe.fileno())
    try:
        worker = Worker(job, samples, control.fileno())
        os.write(pipe.fileno(), FRAME.pack(READY, 0))
        start_ns = control.recv()
        # A collection amid the run would make sends late; what a run leaves in cycles fits into memory.
        gc.collect()
        gc.freeze()
        gc.disable()
        worker.run(start_ns)
    except EOFError:
        return  # the process that started it is gone
    except BaseException as error:
        samples.close(FAILURE, " ".join(f"{type(error).__name__}: {error}".split()).encode())
        raise
    used = resource.getrusage(resource.RUSAGE_SELF)
    summary = {
        **asdict(worker.counts),
        "lost": samples.lost,
        "cpu_s": round(used.ru_utime + used.ru_stime, 3),
        "memory_kb": used.ru_maxrss,
        "preempted": used.ru_nivcsw,
    }
    samples.close(SUMMARY, json.dumps(summary).encode())


def _raise_descriptor_limit() -> None:
    """Allow as many connections as the system does."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
