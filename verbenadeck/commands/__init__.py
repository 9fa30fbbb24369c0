"""The program `verbenadeck` for operators and for running a node."""

from verbenadeck.commands._catalogue import COMMANDS
from verbenadeck.commands._command import (
    AdminPlace,
    AdminReply,
    Command,
    Environment,
    Invocation,
    LogPlace,
)
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.commands._program import main, run

__all__ = (
    'COMMANDS',
    'AdminPlace',
    'AdminReply',
    'Command',
    'CommandError',
    'Environment',
    'ExitCode',
    'Invocation',
    'LogPlace',
    'main',
    'run',
)
