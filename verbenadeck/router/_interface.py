"""Interface of the router, which chooses doors for callers' requests."""

from typing import Protocol

from verbenadeck.model import AnswerResult, Request


class Router(Protocol):
    """Routes one request to a door, with retries and hedges."""

    async def route(self, request: Request) -> AnswerResult:
        """Return the complete answer or a refusal with its outcome."""
        ...
