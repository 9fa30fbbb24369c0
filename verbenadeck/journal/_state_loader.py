"""Loading of the initial fleet state from a checkpoint."""

import random
from collections.abc import Callable

from loguru import logger
from returns.pipeline import is_successful

from verbenadeck.adapters import LogAdapter, LogPage
from verbenadeck.fleet import FleetState
from verbenadeck.journal._checkpoint_search import CheckpointSearch
from verbenadeck.journal._checkpoint_tracker import Checkpoint
from verbenadeck.journal._recovery import RecoveredState, assemble_state
from verbenadeck.model import Era, Offset, index_of
from verbenadeck.utils import Clock

_log = logger.bind(part='journal')
_RETRY_INTERVAL_S = 0.5


class StateLoader:
    """Loader of the newest checkpoint, or of an empty state for a whole log.

    The state may start empty only if the log still has its first record. When
    the log has come back from a backup, nothing that is known is kept: some of
    the applied records are lost, and which ones can't be told from offsets.

    Parameters
    ----------
    adapter : LogAdapter
        Client for the log service.
    search : CheckpointSearch
        Search for a checkpoint in a log that retains no record for good.
    fleet : FleetState
        Fleet state to initialize.
    clock : Clock
        Monotonic clock of this VM.
    random_source : random.Random
        Source of retry jitter.

    Attributes
    ----------
    blocked_on : str
        What loading the state waits for, empty if it is not waiting.
    new_history_listeners : list of callable
        Called right before the state is replaced by that of a log which has
        lost its newest records.
    tail : LogPage or None
        Records that follow the loaded state, if the log returned them with
        the checkpoint.
    """

    def __init__(
        self,
        *,
        adapter: LogAdapter,
        search: CheckpointSearch,
        fleet: FleetState,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self._adapter = adapter
        self._search = search
        self._fleet = fleet
        self._clock = clock
        self._random = random_source
        self.blocked_on = 'the log'
        self.new_history_listeners: list[Callable[[], None]] = []
        self.tail: LogPage | None = None

    async def load(self) -> None:
        """Retry until a state is loaded whose next record can be read.

        A log whose first offset is not 0 has expired records. The state can
        then only start from a checkpoint whose next record the log still
        has; an empty state would revert acknowledged changes.
        """
        while not await self._try_load():
            _log.warning(
                'fleet state not loaded; waiting for {}', self.blocked_on
            )
            wait_s = _RETRY_INTERVAL_S * self._random.uniform(0.5, 1.5)
            await self._clock.sleep_until(self._clock.now_s() + wait_s)
        self.blocked_on = ''

    async def _try_load(self) -> bool:
        self.tail = None
        answer = await self._adapter.newest()
        if not is_successful(answer):
            self.blocked_on = f'the log: {answer.failure().detail}'
            return False
        newest = answer.unwrap()
        if newest is None:
            return await self._load_from_pages(None, self._adapter.era)
        recovered = assemble_state(newest, self._base_offset(newest.era))
        if not recovered.is_complete:
            return await self._load_from_pages(recovered, newest.era)
        is_loaded = self._start_from(
            recovered.checkpoint, recovered.tail.start_offset, newest.era
        )
        self.tail = recovered.tail if is_loaded else None
        return is_loaded

    async def _load_from_pages(
        self, recovered: RecoveredState | None, era: Era
    ) -> bool:
        """Load a state that the part of the log which expires continues."""
        first = await self._search.first_offset()
        if not is_successful(first):
            self.blocked_on = f'the log: {first.failure().detail}'
            return False
        first_offset = first.unwrap()
        if recovered is not None:
            # A retained record was replaced too early. The part of the log that
            # has not expired may still contain it.
            _log.warning(
                'retained records have a gap: {}; reading the log instead',
                recovered.describe(),
            )
            return self._start_from(recovered.checkpoint, first_offset, era)
        found = await self._search.find(first_offset)
        if not is_successful(found):
            self.blocked_on = f'the log: {found.failure().detail}'
            return False
        return self._start_from(found.unwrap(), first_offset, era)

    def _base_offset(self, era: Era) -> Offset:
        """Return the last applied offset of an era, -1 in a new history."""
        if era > self._fleet.claims.log_era:
            return Offset(-1)
        return self._fleet.applied_offset

    def _start_from(
        self, checkpoint: Checkpoint | None, first_offset: Offset, era: Era
    ) -> bool:
        if era != self._adapter.era:
            self.blocked_on = 'the log, which came back while it was read'
            return False
        base_offset = self._base_offset(era)
        is_new_history = era > self._fleet.claims.log_era
        if checkpoint and checkpoint.as_of_offset > base_offset:
            known_era = self._fleet.claims.log_era
            if is_new_history:
                self._begin_history(era)
            restored = self._fleet.restore(checkpoint.packed)
            if is_successful(restored):
                _log.info(
                    'loaded checkpoint {}; reading the log from there',
                    restored.unwrap(),
                )
                return True
            self._fleet.claims.log_era = known_era
            self.blocked_on = restored.failure().detail
        next_index = index_of(base_offset) + 1
        if next_index >= first_offset:
            if is_new_history:
                self._begin_history(era)
                self._fleet.clear()
            return True
        self.blocked_on = (
            f'a checkpoint: the log starts at {first_offset} and holds none '
            f'that it continues, and {next_index} comes next'
        )
        return False

    def _begin_history(self, era: Era) -> None:
        if self._fleet.claims.log_era or self._fleet.members:
            _log.warning(
                'the log came back without its newest records: era {} follows '
                'era {}, of which records up to {} were applied',
                era,
                self._fleet.claims.log_era,
                self._fleet.applied_offset,
            )
        for listener in self.new_history_listeners:
            listener()
        self._fleet.claims.log_era = era
