"""The operators' command line: linnetwood."""

import getpass
import os
import sys
import time
import uuid
from collections.abc import Callable, Iterator
from types import MappingProxyType
from typing import Any, Final

import defopt
from thrift.Thrift import TException

from linnetwood.core.errors import (
    LinnetwoodError,
    SchemaError,
    SettingsError,
    UsageError,
)
from linnetwood.fleet import schema
from linnetwood.gen.schema.ttypes import (
    Answer,
    Intent,
    Refusal,
    RolloutStatus,
    Verdict,
    Weigh,
)
from linnetwood.programs import logcommands, show
from linnetwood.programs.client import OperatorClient
from linnetwood.programs.exits import (
    EXIT_AT_RISK,
    EXIT_BAD_INPUT,
    EXIT_NOT_KNOWN,
    EXIT_OK,
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
)

DEFAULT_ENTRY = '127.0.0.1:7700'
# Path of a folder with cert.pem, key.pem and ca.pem; plain mode if unset.
TLS_FOLDER = 'LINNETWOOD_TLS'
_POLL_S = 0.5
_MEASURES = MappingProxyType({'time': Weigh.TIME, 'origin': Weigh.ORIGIN})


def schema_check(file: str, *, json: bool = False) -> int:
    """Check a schema file; change nothing.

    :param file: the deployment's schema file
    :param json: print JSON
    """
    deployment = schema.load(file)
    lines = (f'{file}: the schema is good',)
    return show.print_result(deployment, lines, json)


def apply(
    file: str,
    *,
    entry: str = DEFAULT_ENTRY,
    base: int = -1,
    operation: str = '',
    json: bool = False,
) -> int:
    """Put a whole deployment in force.

    :param file: the deployment's schema file
    :param entry: operators' address of an entry
    :param base: revision the change is based on; by default the one in force
    :param operation: operation id, to repeat a change whose answer was lost
    :param json: print JSON
    """
    deployment = schema.load(file)
    return _change(
        entry,
        base,
        json,
        lambda calls, revision: calls.apply(
            deployment,
            revision,
            operation or uuid.uuid4().hex,
            getpass.getuser(),
        ),
    )


def rollout_start(  # noqa: WPS211
    model: str,
    version: str,
    replicas: int,
    *,
    entry: str = DEFAULT_ENTRY,
    ready_in_s: float = 0,
    weigh: str = 'time',
    spare: int = 1,
    zones: list[str] | None = None,
    base: int = -1,
    operation: str = '',
    wait: bool = False,
    json: bool = False,
) -> int:
    """Bring a version to so many complete replicas.

    :param model: the model
    :param version: one of its declared versions
    :param replicas: how many complete replicas to keep
    :param entry: operators' address of an entry
    :param ready_in_s: seconds from now by which they must serve
    :param weigh: the measure that weighs more, time or origin
    :param spare: how many serving replicas may be loading at a time
    :param zones: availability zones to use; by default all
    :param base: revision the change is based on; by default the one in force
    :param operation: operation id, to repeat a change whose answer was lost
    :param wait: show progress until every replica is complete
    :param json: print JSON
    """
    if weigh not in _MEASURES:
        raise UsageError(
            'bad-option',
            f'weigh: found {weigh!r}, allowed is one of {sorted(_MEASURES)}',
        )
    intent = Intent(
        model=model,
        version=version,
        replicas=replicas,
        ready_by_unix_s=int(time.time() + ready_in_s) if ready_in_s else 0,
        weigh=_MEASURES[weigh],
        availability_zones=zones or [],
        spare_replicas=spare,
    )
    code = _change(
        entry,
        base,
        json,
        lambda calls, revision: calls.startRollout(
            intent,
            revision,
            operation or uuid.uuid4().hex,
            getpass.getuser(),
        ),
    )
    if code != EXIT_OK or not wait:
        return code
    return rollout_status(model, entry=entry, wait=True, json=json)


def rollout_status(
    model: str,
    *,
    entry: str = DEFAULT_ENTRY,
    wait: bool = False,
    json: bool = False,
) -> int:
    """Show the progress of a rollout.

    :param model: the model
    :param entry: operators' address of an entry
    :param wait: go on until every replica is complete
    :param json: print JSON
    """
    last: RolloutStatus | None = None
    with _client(entry) as calls:
        for found in _follow(calls, model, wait):
            show.print_result(found, (show.rollout(found),), json)
            last = found
    if last is None:
        raise UsageError('no-rollout', f'model {model} has no intent')
    return EXIT_AT_RISK if last.at_risk else EXIT_OK


def rollout_cancel(
    model: str,
    *,
    entry: str = DEFAULT_ENTRY,
    base: int = -1,
    operation: str = '',
    json: bool = False,
) -> int:
    """Restore what a rollout replaced.

    :param model: the model
    :param entry: operators' address of an entry
    :param base: revision the change is based on; by default the one in force
    :param operation: operation id, to repeat a change whose answer was lost
    :param json: print JSON
    """
    return _change(
        entry,
        base,
        json,
        lambda calls, revision: calls.cancelRollout(
            model,
            revision,
            operation or uuid.uuid4().hex,
            getpass.getuser(),
        ),
    )


def settle(
    operation: str,
    *,
    entry: str = DEFAULT_ENTRY,
    json: bool = False,
) -> int:
    """Show whether an earlier change was accepted.

    :param operation: its operation id
    :param entry: operators' address of an entry
    :param json: print JSON
    """
    with _client(entry) as calls:
        return _print_answer(calls.settle(operation), json)


def endpoint_list(*, entry: str = DEFAULT_ENTRY, json: bool = False) -> int:
    """List the endpoints as an entry sees them.

    :param entry: operators' address of an entry
    :param json: print JSON
    """
    with _client(entry) as calls:
        found = calls.endpoints()
    return show.print_result(found, map(show.endpoint, found), json)


def endpoint_drain(
    vm: str,
    *,
    entry: str = DEFAULT_ENTRY,
    json: bool = False,
) -> int:
    """Tell an endpoint to take no new work.

    :param vm: the endpoint's VM
    :param entry: operators' address of an entry
    :param json: print JSON
    """
    with _client(entry) as calls:
        calls.drain(vm, getpass.getuser())
    return show.print_result(
        {'vm': vm, 'state': 'leaving'}, (f'{vm} is leaving',), json
    )


def status(*, entry: str = DEFAULT_ENTRY, json: bool = False) -> int:
    """Show the fleet as an entry sees it.

    :param entry: operators' address of an entry
    :param json: print JSON
    """
    with _client(entry) as calls:
        found = calls.status()
    return show.print_result(found, show.status(found), json)


def config_show(*, entry: str = DEFAULT_ENTRY, json: bool = False) -> int:
    """Show the configuration in force.

    :param entry: operators' address of an entry
    :param json: print JSON
    """
    with _client(entry) as calls:
        found = calls.configuration()
    return show.print_result(found, show.configuration(found), json)


def config_history(*, entry: str = DEFAULT_ENTRY, json: bool = False) -> int:
    """List accepted changes, newest first.

    :param entry: operators' address of an entry
    :param json: print JSON
    """
    with _client(entry) as calls:
        found = calls.configuration()
    return show.print_result(found.history, show.history(found), json)


def _client(entry: str) -> OperatorClient:
    return OperatorClient(entry, os.environ.get(TLS_FOLDER, ''))


def _follow(calls: Any, model: str, wait: bool) -> Iterator[RolloutStatus]:
    while True:
        rollouts = calls.status().rollouts
        found = [one for one in rollouts if one.model == model]
        yield from found
        done = all(
            one.replicas_complete >= one.replicas_wanted for one in found
        )
        if done or not wait:
            return
        time.sleep(_POLL_S)


def _change(
    entry: str,
    base: int,
    as_json: bool,
    act: Callable[[Any, int], Answer],
) -> int:
    with _client(entry) as calls:
        revision = base if base >= 0 else calls.configuration().revision
        return _print_answer(act(calls, revision), as_json)


def _print_answer(found: Answer, as_json: bool) -> int:
    show.print_result(found, show.answer(found), as_json)
    return {
        Verdict.ACCEPTED: EXIT_OK,
        Verdict.REFUSED: EXIT_REFUSED,
        Verdict.NOT_KNOWN: EXIT_NOT_KNOWN,
    }[found.verdict]


COMMANDS: Final = MappingProxyType(
    {
        'schema': {'check': schema_check},
        'apply': apply,
        'rollout': {
            'start': rollout_start,
            'status': rollout_status,
            'cancel': rollout_cancel,
        },
        'settle': settle,
        'endpoint': {'list': endpoint_list, 'drain': endpoint_drain},
        'status': status,
        'explain': logcommands.explain_call,
        'losses': logcommands.sum_up_losses,
        'forecasts': logcommands.sum_up_forecasts,
        'traffic': logcommands.sum_up_traffic,
        'config': {'show': config_show, 'history': config_history},
    }
)


def main(argv: list[str] | None = None) -> None:
    """Run the command line and turn errors into exit codes."""
    sys.exit(run(argv))


def run(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    try:
        return int(defopt.run(dict(COMMANDS), argv=argv, no_negated_flags=True))
    except (SchemaError, SettingsError, UsageError) as exc:
        return _print_error(str(exc), EXIT_BAD_INPUT)
    except Refusal as exc:
        return _print_error(f'{exc.code}: {exc.detail}', EXIT_REFUSED)
    except (LinnetwoodError, TException) as exc:
        return _print_error(str(exc), EXIT_UNREACHABLE)


def _print_error(text: str, code: int) -> int:
    sys.stderr.write(f'linnetwood: {text}\n')
    return code


if __name__ == '__main__':
    main()
