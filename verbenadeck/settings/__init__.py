"""Settings of a node: types, constraints and reading of files."""

from verbenadeck.settings._checking import ConstraintTable, check_tree
from verbenadeck.settings._constraints import (
    HTTP_PATH,
    HTTP_URL,
    NAME,
    NOT_BLANK,
    PORT,
    Address,
    Constraint,
    Constraints,
    Interval,
    Options,
    Pattern,
    PowerOfTwo,
)
from verbenadeck.settings._errors import Path, Problem, SettingsErrors
from verbenadeck.settings._load import (
    load_settings,
    located,
    parse_document,
    parse_json,
    parse_settings,
    read_file,
)
from verbenadeck.settings._node import (
    SETTINGS_CONSTRAINTS,
    CallerSettings,
    LeaseSettings,
    LoggingSettings,
    LogSettings,
    NodeSettings,
    UpstreamSettings,
)

__all__ = (
    'HTTP_PATH',
    'HTTP_URL',
    'NAME',
    'NOT_BLANK',
    'PORT',
    'SETTINGS_CONSTRAINTS',
    'Address',
    'CallerSettings',
    'Constraint',
    'ConstraintTable',
    'Constraints',
    'Interval',
    'LeaseSettings',
    'LogSettings',
    'LoggingSettings',
    'NodeSettings',
    'Options',
    'Path',
    'Pattern',
    'PowerOfTwo',
    'Problem',
    'SettingsErrors',
    'UpstreamSettings',
    'check_tree',
    'load_settings',
    'located',
    'parse_document',
    'parse_json',
    'parse_settings',
    'read_file',
)
