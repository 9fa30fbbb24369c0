"""Types of the fleet status, which `status --json` prints."""

import msgspec

from verbenadeck.admin import MemberStatus, NodeStatus, ZoneStatus
from verbenadeck.model import ConfigVersion


class MemberReport(msgspec.Struct, frozen=True):
    """Member with the status that it reported, or the error.

    Parameters
    ----------
    member : MemberStatus
        Member according to the log or to the node that was queried.
    status : NodeStatus or None
        Status that the member reported, None after an error.
    error : str
        Why there is no status, empty if there is one.
    """

    member: MemberStatus
    status: NodeStatus | None = None
    error: str = ''


class FleetStatus(msgspec.Struct, frozen=True):
    """Status of the whole fleet.

    Parameters
    ----------
    config_version : ConfigVersion
        Newest configuration version.
    config_author : str
        Author of that version.
    zones : tuple of ZoneStatus
        Availability zones.
    members : tuple of MemberReport
        Members with the status that each reported.
    """

    config_version: ConfigVersion
    config_author: str
    zones: tuple[ZoneStatus, ...]
    members: tuple[MemberReport, ...]

    @property
    def is_complete(self) -> bool:
        """Whether there are members and all report the newest version."""
        return bool(self.members) and all(
            report.status is not None
            and report.status.config_version >= self.config_version
            for report in self.members
        )
