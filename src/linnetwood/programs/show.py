"""Print answers for operators, as text or as JSON."""

import json
import sys
from collections.abc import Iterable, Iterator
from typing import Any

from linnetwood.gen.schema.ttypes import (
    Answer,
    Change,
    Configuration,
    EndpointStatus,
    RolloutStatus,
    Status,
    Verdict,
)
from linnetwood.programs.exits import EXIT_OK

_PERCENT = 100


def to_json_value(message: Any) -> Any:
    """Convert a generated struct to values for JSON."""
    if isinstance(message, list):
        return [to_json_value(one) for one in message]
    spec = getattr(message, 'thrift_spec', None)
    if spec is None:
        return message
    return {
        one[2]: to_json_value(getattr(message, one[2])) for one in spec if one
    }


def as_json(message: Any) -> str:
    """Encode a struct as JSON."""
    return json.dumps(to_json_value(message), indent=2)


def print_result(found: Any, lines: Iterable[str], in_json: bool) -> int:
    """Print a result as lines or as JSON; return the exit code."""
    text = as_json(found) if in_json else '\n'.join(lines)
    sys.stdout.write(f'{text}\n')
    return EXIT_OK


def answer(found: Answer) -> Iterator[str]:
    """Describe the result of a change."""
    verdict = Verdict._VALUES_TO_NAMES[found.verdict].lower().replace('_', ' ')
    if found.verdict == Verdict.ACCEPTED:
        yield f'accepted as revision {found.revision}'
        return
    yield f'{verdict}: {found.code} {found.detail}'.rstrip()
    for change in found.since:
        yield f'  since then: {_change(change)}'
    if found.verdict == Verdict.NOT_KNOWN:
        yield f'  ask again: linnetwood settle {found.operation_id}'


def history(found: Configuration) -> Iterator[str]:
    """List accepted changes, newest first."""
    for change in reversed(found.history):
        yield _change(change)


def configuration(found: Configuration) -> Iterator[str]:
    """Describe the configuration in force."""
    yield f'revision {found.revision}'
    for model in found.deployment.models:
        versions = ', '.join(version.name for version in model.versions)
        yield f'model {model.name}: versions {versions}'
    for service in found.deployment.services:
        once = ', '.join(service.once_paths) or 'nothing'
        yield f'service {service.name}: at most once {once}'
    for organisation in found.deployment.organisations:
        yield f'organisation {organisation.name}: share {organisation.share}'
    for intent in found.deployment.intents:
        yield (
            f'intent {intent.model}: version {intent.version}, '
            f'{intent.replicas} replicas'
        )


def status(found: Status) -> Iterator[str]:
    """Describe the fleet as one entry sees it."""
    platform = (
        'reachable' if found.platform_reachable else 'not watched from here'
    )
    yield f'{found.vm} in {found.availability_zone}: revision {found.revision}'
    yield f'platform {platform}'
    yield f'{found.entries} entries, {found.endpoints} endpoints'
    if found.unreachable_zones:
        yield f'not heard from: {", ".join(found.unreachable_zones)}'
    for one in found.rollouts:
        yield rollout(one)


def rollout(found: RolloutStatus) -> str:
    """Describe one rollout in a line."""
    line = (
        f'{found.model} {found.version}: '
        f'{found.replicas_complete} of {found.replicas_wanted} complete, '
        f'{found.fraction_held * _PERCENT:.0f}% held, '
        f'{found.replicas_per_s:.2f} replicas/s'
    )
    if found.estimate_s >= 0:
        line = f'{line}, about {found.estimate_s:.0f} s to go'
    if found.deadline_s >= 0:
        line = f'{line}, {found.deadline_s:.0f} s left'
    if found.at_risk:
        line = f'{line}; AT RISK: {found.cause}'
    return line


def endpoint(found: EndpointStatus) -> str:
    """Describe one endpoint in a line."""
    return (
        f'{found.vm} {found.availability_zone} {found.kind} {found.state} '
        f'{found.serving or "-"} {found.chunks_held}/{found.chunks_wanted}'
    )


def _change(change: Change) -> str:
    return (
        f'revision {change.revision} by {change.operator_name}: '
        f'{change.summary} ({change.operation_id})'
    )
