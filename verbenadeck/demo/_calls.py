"""Calls of the demo's callers and what became of them."""

import enum
from collections import Counter

import msgspec

from verbenadeck.model import Outcome
from verbenadeck.standins import EchoBody, echo_digest

_OK = 200


class CallKind(enum.Enum):
    """Why a call is made."""

    PROBE = 'probe'
    LOOKUP = 'lookup'
    DEPOSIT = 'deposit'


class Call(msgspec.Struct, frozen=True):
    """One call, sent until it is answered or given up.

    Parameters
    ----------
    kind : CallKind
        Why it is made; only deposits are not repeatable.
    service : str
        Service that is asked.
    key : str
        Key.
    nonce : str
        Unique text, the idempotency key of a deposit.
    timeout_s : float
        Time in seconds that the caller waits in all.
    is_patient : bool
        Whether the caller sends again after `not-run`.
    """

    kind: CallKind
    service: str
    key: str
    nonce: str
    timeout_s: float
    is_patient: bool = True

    @property
    def method(self) -> str:
        """HTTP method."""
        return 'POST' if self.kind is CallKind.DEPOSIT else 'GET'

    @property
    def upstream_path(self) -> str:
        """Path as the upstream gets it."""
        return f'/{self.key}?nonce={self.nonce}'

    @property
    def path(self) -> str:
        """Path as the caller sends it."""
        return f'/{self.service}{self.upstream_path}'

    @property
    def body(self) -> bytes:
        """Body; empty for what only reads."""
        if self.kind is CallKind.DEPOSIT:
            return f'deposit {self.nonce} for {self.key}'.encode()
        return b''


class Final(enum.Enum):
    """What a caller knows at the end."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    WRONG = 'wrong'


class CallRecord(msgspec.Struct):
    """What became of a call.

    Parameters
    ----------
    call : Call
        The call.
    started_s, ended_s : float
        On the boot clock.
    final : Final
        What the caller knows at the end.
    attempts : int
        Times that it was sent.
    was_lost : bool
        Whether an attempt ended without a known outcome.
    last_outcome : Outcome or None
        Outcome that the last attempt was told; None for an answer.
    refusals : Counter
        Refusals by outcome and reason.
    """

    call: Call
    started_s: float
    ended_s: float = 0
    final: Final = Final.UNKNOWN
    attempts: int = 0
    was_lost: bool = False
    last_outcome: Outcome | None = None
    refusals: Counter[str] = msgspec.field(default_factory=Counter)


def give_up(record: CallRecord) -> None:
    """Settle what the caller knows when no answer came."""
    record.final = Final.UNKNOWN if record.was_lost else Final.NOT_RUN


def is_own_answer(call: Call, status: int, body: bytes) -> bool:
    """Return whether an answer is whole and belongs to the call."""
    if status != _OK:
        return False
    try:
        echo = msgspec.json.decode(body, type=EchoBody)
    except msgspec.MsgspecError:
        return False
    if call.kind is CallKind.DEPOSIT and echo.request_id != call.nonce:
        return False
    digest = echo_digest(call.method, call.upstream_path, call.body)
    return echo.digest == digest
