"""Gives the fleet state its starting point."""

import random

from loguru import logger
from returns.pipeline import is_successful

from verbenadeck.adapters import LogAdapter, LogPage
from verbenadeck.fleet import FleetState
from verbenadeck.journal._checkpoint_search import CheckpointSearch
from verbenadeck.journal._checkpoint_tracker import Checkpoint
from verbenadeck.journal._recovery import recover
from verbenadeck.model import Offset
from verbenadeck.utils import Clock

_log = logger.bind(part='journal')
_RETRY_S = 0.5


class BaseLoader:
    """Loads a checkpoint, or starts empty at a log that has lost nothing.

    Parameters
    ----------
    adapter : LogAdapter
        Way to the log.
    search : CheckpointSearch
        Search of a log that keeps no record for good.
    fleet : FleetState
        State to start.
    clock : Clock
        Clock of this VM.
    random_source : random.Random
        Spreads retries.

    Attributes
    ----------
    blocked_on : str
        What the start waits for, empty when it waits for nothing.
    tail : LogPage or None
        Records after the loaded state that the log gave with it.
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
        self.tail: LogPage | None = None

    async def load(self) -> None:
        """Wait until the next record of the state can be read.

        A log whose first position is not 0 has lost history. Only a
        checkpoint that it still continues is a start then; an empty state
        would take back what was acknowledged.
        """
        while not await self._try_load():
            _log.warning('wait for {}', self.blocked_on)
            wait_s = _RETRY_S * self._random.uniform(0.5, 1.5)
            await self._clock.sleep_until(self._clock.now_s() + wait_s)
        self.blocked_on = ''

    async def _try_load(self) -> bool:
        self.tail = None
        kept = await recover(self._adapter, self._fleet.applied_offset)
        if not is_successful(kept):
            self.blocked_on = f'the log: {kept.failure().detail}'
            return False
        recovered = kept.unwrap()
        if recovered is not None and recovered.is_whole:
            self.tail = recovered.tail
            return self._start_from(
                recovered.checkpoint, recovered.tail.start_offset
            )
        first = await self._search.first_offset()
        if not is_successful(first):
            self.blocked_on = f'the log: {first.failure().detail}'
            return False
        first_offset = first.unwrap()
        if recovered is not None:
            # A record was replaced too early; the log may have it still.
            _log.warning('kept records have a gap: {}', recovered.describe())
            return self._start_from(recovered.checkpoint, first_offset)
        found = await self._search.find(first_offset)
        if not is_successful(found):
            self.blocked_on = f'the log: {found.failure().detail}'
            return False
        return self._start_from(found.unwrap(), first_offset)

    def _start_from(
        self, checkpoint: Checkpoint | None, first_offset: Offset
    ) -> bool:
        applied_offset = self._fleet.applied_offset
        if checkpoint and checkpoint.as_of_offset > applied_offset:
            restored = self._fleet.restore(checkpoint.packed)
            if is_successful(restored):
                _log.info('start from checkpoint {}', restored.unwrap())
                return True
            self.blocked_on = restored.failure().detail
        if applied_offset + 1 >= first_offset:
            return True
        self.blocked_on = (
            f'a checkpoint: the log starts at {first_offset} and holds none '
            f'that it continues, and {applied_offset + 1} comes next'
        )
        return False
