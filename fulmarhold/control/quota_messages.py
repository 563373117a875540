"""Messages between entries and the leader about the quotas of accounts."""

from __future__ import annotations

from fulmarhold.accounts.leases import Grant, GrantItem, Report, ReportItem
from fulmarhold.wire.messages import message


@message
class ReportQuotas:
    """An entry's report; answered with `GrantQuotas`, `ReportIgnored` or `NotLeading`."""

    entry: str
    born: int
    number: int
    epoch: int
    is_opening: bool
    items: tuple[ReportItem, ...]

    def report(self) -> Report:
        """Return the report that is sent."""
        return Report(self.entry, self.born, self.number, self.epoch, self.is_opening, self.items)


@message
class GrantQuotas:
    """The tokens that the leader grants; `lease` is in milliseconds since the report was sent."""

    number: int
    epoch: int
    lease: float
    items: tuple[GrantItem, ...]

    def grant(self) -> Grant:
        """Return the grant that is sent."""
        return Grant(self.number, self.epoch, self.lease, self.items)


@message
class ReportIgnored:
    """The report has arrived after a later one of the same entry."""


def encode_report(report: Report) -> ReportQuotas:
    """Return the message that sends a report."""
    return ReportQuotas(
        report.entry, report.born, report.number, report.epoch, report.is_opening, report.items
    )


def encode_grant(grant: Grant) -> GrantQuotas:
    """Return the message that sends a grant."""
    return GrantQuotas(grant.number, grant.epoch, grant.lease, grant.items)
