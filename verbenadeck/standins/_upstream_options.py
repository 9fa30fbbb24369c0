"""Options, faults and oracle reports of the upstream stand-in."""

import enum

import msgspec

from verbenadeck.standins._cold_start import Overrun


class LoadLie(enum.Enum):
    """How load reports mislead."""

    NONE = 'none'
    IDLE = 'idle'
    HEALTHY = 'healthy'


class UpstreamOptions(msgspec.Struct, frozen=True):
    """What an upstream stand-in is.

    Parameters
    ----------
    service : str
        Service it provides.
    instance : str
        Identity of this life.
    is_keyed : bool
        Whether orders need a granted shard.
    slots : int
        Requests it can run at once when warm.
    connections : int
        Connections it says it can hold.
    cold_slots : int
        Requests it can run at once when cold.
    warm_up_s : float
        Time in seconds from cold to warm.
    overrun : Overrun
        What it does with more work than it can bear.
    service_time_s : float
        Median time in seconds that a request takes.
    spread : float
        Sigma of the log-normal service time.
    seed : int
        Seed of the service times.
    poison : str
        Text in a path that crashes the process; empty for none.
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
    """Faults that an upstream shows from now on.

    Parameters
    ----------
    straggle_factor : float
        Factor on every service time.
    is_frozen : bool
        Whether nothing is answered until the fault ends.
    is_fence_blind : bool
        Whether grants and fences are ignored.
    is_chilled : bool
        Whether it turns cold at this moment.
    load_lag_s : float
        Age in seconds of what load reports say.
    load_lie : LoadLie
        How load reports mislead.
    """

    straggle_factor: float = 1
    is_frozen: bool = False
    is_fence_blind: bool = False
    is_chilled: bool = False
    load_lag_s: float = 0
    load_lie: LoadLie = LoadLie.NONE


class ServedRun(msgspec.Struct, frozen=True, array_like=True):
    """One run, on the boot clock of the VM.

    Parameters
    ----------
    shard : int
        Shard, -1 for services not divided by key.
    fence : int
        Fence of the order.
    start_s, end_s : float
        When the run began and ended.
    """

    shard: int
    fence: int
    start_s: float
    end_s: float


class RunsReport(msgspec.Struct, frozen=True):
    """What truly happened at an upstream.

    Parameters
    ----------
    runs : dict of str to int
        Runs by request id.
    refused : dict of str to int
        Refusals by reason.
    overruns : int
        Orders beyond what a cold upstream could bear.
    most_running : int
        Most requests that ran at once.
    """

    runs: dict[str, int]
    refused: dict[str, int]
    overruns: int
    most_running: int


class ServingReport(msgspec.Struct, frozen=True):
    """All runs of an upstream, for finding two owners at one moment."""

    service: str
    instance: str
    served: tuple[ServedRun, ...]


class EchoBody(msgspec.Struct, frozen=True):
    """Body of every answer.

    Parameters
    ----------
    request_id : str
        Request id as the upstream got it.
    digest : str
        Digest of what the upstream got, by `echo_digest`.
    instance : str
        Identity of the upstream's life.
    padding : str
        Filler, so that a cut body is noticed.
    """

    request_id: str
    digest: str
    instance: str
    padding: str
