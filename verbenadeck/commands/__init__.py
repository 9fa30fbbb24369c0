"""Command line program `verbenadeck`: operator commands and running a node."""

from verbenadeck.commands._catalogue import COMMANDS
from verbenadeck.commands._command import (
    AdminAddress,
    AdminReply,
    Command,
    Environment,
    Invocation,
    LogTarget,
)
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.commands._program import main, run

__all__ = (
    'COMMANDS',
    'AdminAddress',
    'AdminReply',
    'Command',
    'CommandError',
    'Environment',
    'ExitCode',
    'Invocation',
    'LogTarget',
    'main',
    'run',
)
