"""Configurations: encoding, changes by operators, history and validation."""

import dataclasses
from collections.abc import Iterator

from linnetwood.core.errors import CodecError, ConfigError
from linnetwood.fleet.kvtable import MAX_VALUE
from linnetwood.gen.schema.ttypes import (
    Change,
    Configuration,
    Deployment,
    Intent,
)
from linnetwood.wire.codec import decode, encode

CONFIG_KEY = 'linnetwood/configuration'
HISTORY_KEPT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A change that an operator wants, and the revision it is based on."""

    deployment: Deployment
    base_revision: int
    operation_id: str
    operator_name: str
    summary: str


def empty() -> Configuration:
    """Return the configuration in force before any change was accepted."""
    return Configuration(revision=0, deployment=Deployment(), history=[])


def unpack(encoded: bytes) -> Configuration:
    """Decode a configuration; no bytes mean the empty one.

    Raises ConfigError if the bytes can't be decoded.
    """
    if not encoded:
        return empty()
    try:
        return decode(Configuration, encoded)
    except CodecError as exc:
        raise ConfigError('config-unreadable', exc.detail) from exc


def pack(configuration: Configuration) -> bytes:
    """Encode a configuration; raise ConfigError if it is too large."""
    encoded = encode(configuration)
    if len(encoded) > MAX_VALUE:
        raise ConfigError(
            'config-too-large',
            f'{len(encoded)} bytes, allowed are {MAX_VALUE}',
        )
    return encoded


def apply_proposal(
    current: Configuration,
    proposal: Proposal,
    wall: float,
) -> Configuration:
    """Return the configuration after a proposal; `wall` is in Unix seconds."""
    change = Change(
        revision=current.revision + 1,
        operation_id=proposal.operation_id,
        operator_name=proposal.operator_name,
        accepted_unix_ms=int(wall * 1000),
        summary=proposal.summary,
    )
    history = [*current.history, change][-HISTORY_KEPT:]
    return Configuration(
        revision=change.revision,
        deployment=proposal.deployment,
        history=history,
    )


def find_change(
    configuration: Configuration,
    operation_id: str,
) -> Change | None:
    """Return the accepted change with an operation id, if it is known."""
    for change in configuration.history:
        if change.operation_id == operation_id:
            return change
    return None


def changes_since(
    configuration: Configuration,
    revision: int,
) -> list[Change]:
    """Return the known changes that were accepted after a revision."""
    return [
        change for change in configuration.history if change.revision > revision
    ]


def history_starts_after(
    configuration: Configuration, base_revision: int
) -> bool:
    """Return whether changes right after a revision were dropped."""
    if not configuration.history:
        return False
    return configuration.history[0].revision > base_revision + 1


def with_intent(deployment: Deployment, intent: Intent) -> Deployment:
    """Replace the intent for one model and record in it what it replaces."""
    others = []
    for existing in deployment.intents:
        if existing.model == intent.model:
            _set_previous(intent, existing)
        else:
            others.append(existing)
    return _with_intents(deployment, [*others, intent])


def _set_previous(intent: Intent, replaced: Intent) -> None:
    if replaced.version == intent.version:
        intent.previous_version = replaced.previous_version
        intent.previous_replicas = replaced.previous_replicas
    else:
        intent.previous_version = replaced.version
        intent.previous_replicas = replaced.replicas


def without_rollout(deployment: Deployment, model: str) -> Deployment:
    """Restore what the model's intent replaced; raise ConfigError if none."""
    intents = []
    if all(intent.model != model for intent in deployment.intents):
        raise ConfigError('no-rollout', f'model {model} has no intent')
    for intent in deployment.intents:
        if intent.model != model:
            intents.append(intent)
        elif intent.previous_version:
            intents.append(_previous(intent))
    return _with_intents(deployment, intents)


def _previous(intent: Intent) -> Intent:
    return Intent(
        model=intent.model,
        version=intent.previous_version,
        replicas=intent.previous_replicas,
        weigh=intent.weigh,
        availability_zones=intent.availability_zones,
        spare_replicas=intent.spare_replicas,
    )


def _with_intents(deployment: Deployment, intents: list[Intent]) -> Deployment:
    return Deployment(
        models=deployment.models,
        services=deployment.services,
        organisations=deployment.organisations,
        intents=intents,
    )


def manifest_of(deployment: Deployment, model: str, version: str) -> str:
    """Return the manifest of a declared version; '' if there is none."""
    for declared in deployment.models:
        if declared.name != model:
            continue
        for candidate in declared.versions:
            if candidate.name == version:
                return candidate.manifest
    return ''


def validation_errors(deployment: Deployment) -> Iterator[str]:
    """Yield a message for each error of a deployment."""
    yield from _duplicate_errors(
        'model', [model.name for model in deployment.models]
    )
    yield from _duplicate_errors(
        'service', [service.name for service in deployment.services]
    )
    yield from _duplicate_errors(
        'organisation',
        [organisation.name for organisation in deployment.organisations],
    )
    yield from _duplicate_errors(
        'intent for model', [intent.model for intent in deployment.intents]
    )
    for model in deployment.models:
        names = {version.name for version in model.versions}
        yield from _duplicate_errors(
            f'version of {model.name}',
            [version.name for version in model.versions],
        )
        for adapter in model.adapters:
            if adapter.base_version not in names:
                yield (
                    f'adapter {adapter.name}: base_version: found '
                    f'{adapter.base_version!r}, '
                    f'allowed is one of {sorted(names)}'
                )
    for organisation in deployment.organisations:
        if organisation.share < 1:
            yield (
                f'organisation {organisation.name}: share: found '
                f'{organisation.share}, allowed is at least 1'
            )
    for intent in deployment.intents:
        yield from _intent_errors(deployment, intent)


def _intent_errors(deployment: Deployment, intent: Intent) -> Iterator[str]:
    if not manifest_of(deployment, intent.model, intent.version):
        yield (
            f'intent {intent.model}: version: found {intent.version!r}, '
            'allowed is a declared version with a manifest'
        )
    if intent.replicas < 0 or intent.spare_replicas < 0:
        yield (
            f'intent {intent.model}: replicas: found {intent.replicas}, '
            f'spare_replicas: found {intent.spare_replicas}, '
            'allowed is at least 0'
        )


def _duplicate_errors(kind: str, names: list[str]) -> Iterator[str]:
    for name in sorted(
        {candidate for candidate in names if names.count(candidate) > 1}
    ):
        yield f'{kind} {name}: found twice, allowed is once'
    if '' in names:
        yield f'{kind}: name: found nothing, allowed is a name'
