"""The settings that one process is started with, as the rest of the program uses them."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """A TCP endpoint: IPv4 address and port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse HOST:PORT.

        Raises:
            ValueError: the text does not have this form, or the port is not within 1 to 65535.
        """
        host, colon, port = text.rpartition(":")
        if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
            raise ValueError(f"{text!r} is not HOST:PORT")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """The number of machines, zones or regions that may fail at the same time (key `fault_tolerance`)."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Numeric parameters of the deployment's rules (key `bounds`).

    Durations are in seconds; ratios, the overshoot and the slack are plain numbers; the allowance is a number
    of retries.
    """

    drain_s: float = 3.0
    grace_s: float = 8.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    retry_allowance: float = 0.0
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    evacuation_s: float = 5.0
    max_ttl_s: float = 2.0
    history_s: float = 20.0


@dataclass(frozen=True, slots=True)
class MetricsEndpoint:
    """The address and the path where a process serves its metrics."""

    address: Address
    path: str


@dataclass(frozen=True, slots=True)
class BootSettings:
    """All settings that one process is started with.

    Attributes:
        node_name: the process's name, unique in the deployment.
        role: the role name that the deployment gives this process; empty if it gives none.
        ip: the IPv4 address of this machine.
        zone: the zone of this machine.
        region: the region of this machine.
        zones: the region of each zone of the deployment, by zone.
        listen: the addresses to listen on, by the name of the endpoint.
        internal_ports: the first and the last port of the range for traffic between processes.
        seeds: addresses of control processes, through which this process discovers the others.
        bootstrap: whether a control process without stored state bootstraps a new core.
        counts_for_quorum: whether a control process may be a witness.
        data_dir: the directory for persistent state; `None` if the process has none.
        heartbeat_s: the interval between heartbeats of a server, in seconds.
        tolerance: the simultaneous failures that the deployment has to survive.
        bounds: numeric parameters of the deployment's rules.
        memory_mb: the memory limit of the process, in MB.
        max_fds: the maximum number of open file descriptors.
        metrics: where to serve metrics; `None` if they are not served.
        log_sends: whether a sidecar logs each request that it sends to a server, also if that simply
            answered.
    """

    node_name: str
    role: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    listen: dict[str, Address]
    internal_ports: tuple[int, int]
    seeds: tuple[Address, ...]
    bootstrap: bool
    counts_for_quorum: bool
    data_dir: Path | None
    heartbeat_s: float
    tolerance: FaultTolerance
    bounds: Bounds
    memory_mb: float
    max_fds: int
    metrics: MetricsEndpoint | None
    log_sends: bool = False
