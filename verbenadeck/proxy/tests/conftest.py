"""Fixtures for the tests of the proxy."""

from collections.abc import Iterator

import pytest
from loguru import logger


@pytest.fixture(autouse=True)
def _quiet_logs() -> Iterator[None]:
    logger.disable('verbenadeck')
    yield
    logger.enable('verbenadeck')
