"""The process of a worker: reports that it is ready, receives the start time, runs, and sends a summary."""

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
        job: The part of the load to send.
        control: Receives the start in nanoseconds of the monotonic clock; anything after it stops the run.
        pipe: Sends frames (`samples.py`) to the generator.
    """
    _raise_descriptor_limit()
    samples = SampleWriter(pipe.fileno())
    try:
        worker = Worker(job, samples, control.fileno())
        os.write(pipe.fileno(), FRAME.pack(READY, 0))
        start_ns = control.recv()
        # A garbage collection during the run would delay sends; the cycles that a run leaves fit into memory.
        gc.collect()
        gc.freeze()
        gc.disable()
        worker.run(start_ns)
    except EOFError:
        return  # the parent process has ended
    except BaseException as error:
        samples.close(FAILURE, " ".join(f"{type(error).__name__}: {error}".split()).encode())
        raise
    usage = resource.getrusage(resource.RUSAGE_SELF)
    summary = {
        **asdict(worker.counts),
        "lost": samples.lost,
        "cpu_s": round(usage.ru_utime + usage.ru_stime, 3),
        "memory_kb": usage.ru_maxrss,
        "preempted": usage.ru_nivcsw,
    }
    samples.close(SUMMARY, json.dumps(summary).encode())


def _raise_descriptor_limit() -> None:
    """Raise the limit of open files to the hard limit, since each connection needs a descriptor."""
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
