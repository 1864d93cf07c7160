"""Assign reports from an address to the incarnation that sent them.

An endpoint may restart under its id within its lease, so that the list never
lacks it, and another endpoint may reuse its address. The start time by its own
clock tells its incarnations apart. This module uses no I/O and no clock.
"""

from linnetwood.calls.choice import Chooser
from linnetwood.calls.directory import Directory, Endpoint
from linnetwood.calls.endpointstats import Report


def apply_report(
    directory: Directory,
    chooser: Chooser,
    host: str,
    born: int,
    report: Report,
) -> Endpoint | None:
    """Apply a report from a host whose process started at a Unix millisecond.

    Return the endpoint if the report has a new notice of it, or None.

    With an unknown start time, 0, the report is of the listed endpoint. A
    report of an older incarnation is dropped. A report of a newer incarnation
    comes ahead of the list: it may be of another endpoint that has the address
    now, so it is not used, but the listed incarnation has ended.
    """
    endpoint = directory.at_host(host)
    if endpoint is None:
        return None
    if born and endpoint.born and born != endpoint.born:
        if born > endpoint.born:
            directory.mark_superseded(endpoint.endpoint_id)
        return None
    chooser.stats_of(endpoint.incarnation_id).record_report(report)
    notice = report.notice
    if notice is None or report.notice_mark != endpoint.incarnation_mark:
        return None
    is_news = chooser.notices.record(
        endpoint.incarnation_id, notice, report.notice_at
    )
    return endpoint if is_news else None
