"""Options, faults and ground-truth reports of the upstream stand-in."""

import enum

import msgspec

from verbenadeck.standins._cold_start import Overrun


class LoadLie(enum.Enum):
    """Falsification of load reports."""

    NONE = 'none'
    IDLE = 'idle'
    HEALTHY = 'healthy'


class UpstreamOptions(msgspec.Struct, frozen=True):
    """Configuration of an upstream stand-in.

    Parameters
    ----------
    service : str
        Name of the service provided.
    instance : str
        Identity of this instance.
    is_keyed : bool
        Whether requests need a granted shard.
    slots : int
        Maximum concurrent requests when warm.
    connections : int
        Maximum number of connections, as announced.
    cold_slots : int
        Maximum concurrent requests when cold.
    warm_up_s : float
        Time in seconds from cold to warm.
    overrun : Overrun
        Reaction of a cold upstream to a request above its capacity.
    service_time_s : float
        Median service time in seconds.
    spread : float
        Sigma of the log-normal service time.
    seed : int
        Seed of the service times.
    poison : str
        Path substring on which the process crashes; empty disables it.
    """

    service: str
    instance: str
    is_keyed: bool = False
    slots: int = 20
    connections: int = 110
    cold_slots: int = 2
    warm_up_s: float = 0
    overrun: Overrun = Overrun.REFUSE
    service_time_s: float = 0.005
    spread: float = 0.4
    seed: int = 1
    poison: str = ''


class UpstreamFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that an upstream stand-in simulates.

    Parameters
    ----------
    straggle_factor : float
        Multiplier of every service time.
    is_frozen : bool
        Whether all answers wait until the fault is cleared.
    is_fence_blind : bool
        Whether grants and fences are ignored.
    is_chilled : bool
        Whether the upstream turns cold on receipt of the faults.
    load_lag_s : float
        Delay in seconds of load reports.
    load_lie : LoadLie
        How load reports are falsified.
    """

    straggle_factor: float = 1
    is_frozen: bool = False
    is_fence_blind: bool = False
    is_chilled: bool = False
    load_lag_s: float = 0
    load_lie: LoadLie = LoadLie.NONE


class ServedRun(msgspec.Struct, frozen=True, array_like=True):
    """Execution of one request, timed on the boot clock of the VM.

    Parameters
    ----------
    shard : int
        Shard, -1 for services not divided by key.
    fence : int
        Fence of the request.
    start_s, end_s : float
        Start and end of the run in seconds.
    """

    shard: int
    fence: int
    start_s: float
    end_s: float


class RunsReport(msgspec.Struct, frozen=True):
    """Ground truth of the runs and refusals at an upstream.

    Parameters
    ----------
    runs : dict of str to int
        Number of runs by request id.
    refused : dict of str to int
        Number of refusals by reason.
    overruns : int
        Requests received above the capacity of a cold upstream.
    most_running : int
        Maximum number of requests that ran at once.
    """

    runs: dict[str, int]
    refused: dict[str, int]
    overruns: int
    most_running: int


class ServingReport(msgspec.Struct, frozen=True):
    """All runs of an upstream, to detect shards with two owners at once.

    Attributes
    ----------
    service : str
        Name of the service.
    instance : str
        Identity of the upstream instance.
    served : tuple of ServedRun
        Runs in order of their end.
    """

    service: str
    instance: str
    served: tuple[ServedRun, ...]


class EchoBody(msgspec.Struct, frozen=True):
    """Body of every answer.

    Parameters
    ----------
    request_id : str
        Request id as received by the upstream.
    digest : str
        Digest of the received request, by `echo_digest`.
    instance : str
        Identity of the upstream instance.
    padding : str
        Padding of varying length, so that a truncated body is detected.
    """

    request_id: str
    digest: str
    instance: str
    padding: str
