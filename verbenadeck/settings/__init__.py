"""Settings of a node: types, constraints, parsing and validation."""

from verbenadeck.settings._checking import ConstraintTable, check_raw
from verbenadeck.settings._constraints import (
    HTTP_PATH,
    HTTP_URL,
    NAME,
    NOT_BLANK,
    PORT,
    Constraint,
    Constraints,
    Interval,
    IpAddress,
    OneOf,
    Pattern,
    PowerOfTwo,
)
from verbenadeck.settings._errors import (
    FieldPath,
    SettingsErrors,
    SettingsProblem,
)
from verbenadeck.settings._load import (
    load_settings,
    parse_json,
    parse_settings,
    parse_struct,
    read_file,
    with_line_numbers,
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
    'IpAddress',
    'CallerSettings',
    'Constraint',
    'ConstraintTable',
    'Constraints',
    'Interval',
    'LeaseSettings',
    'LogSettings',
    'LoggingSettings',
    'NodeSettings',
    'OneOf',
    'FieldPath',
    'Pattern',
    'PowerOfTwo',
    'SettingsProblem',
    'SettingsErrors',
    'UpstreamSettings',
    'check_raw',
    'load_settings',
    'with_line_numbers',
    'parse_struct',
    'parse_json',
    'parse_settings',
    'read_file',
)
