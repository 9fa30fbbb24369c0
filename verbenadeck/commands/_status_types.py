"""Status of the fleet as the command reports it."""

import msgspec

from verbenadeck.admin import MemberStatus, NodeStatus, ZoneStatus
from verbenadeck.model import ConfigVersion


class MemberReport(msgspec.Struct, frozen=True):
    """A member with its own status, or why there is none."""

    member: MemberStatus
    status: NodeStatus | None = None
    error: str = ''


class FleetStatus(msgspec.Struct, frozen=True):
    """Status of the whole fleet.

    Parameters
    ----------
    config_version : ConfigVersion
        Newest version.
    config_author : str
        Its author.
    zones : tuple of ZoneStatus
        Availability zones.
    members : tuple of MemberReport
        Members with their own status.
    """

    config_version: ConfigVersion
    config_author: str
    zones: tuple[ZoneStatus, ...]
    members: tuple[MemberReport, ...]

    @property
    def is_whole(self) -> bool:
        """Whether there are members and all have the newest version."""
        return bool(self.members) and all(
            report.status is not None
            and report.status.config_version >= self.config_version
            for report in self.members
        )
