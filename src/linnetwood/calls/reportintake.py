"""Count what comes from an address for the life of the endpoint that said it.

An endpoint may start again under its id within its lease, so that the list
never lacks it, and its address may be used again by another. Its start, by its
own clock, tells its lives apart; no I/O or clock here.
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
    """Take in a report that came from a host, born at a Unix millisecond.

    Give the endpoint of which it says something new beside its load.

    0 stands for an unknown start: the report is then of whoever is listed. One
    of an older life is dropped. One of a newer life comes ahead of the list:
    it may be of another endpoint that has the address now, so it counts for
    nobody, but the life that is listed has ended.
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
