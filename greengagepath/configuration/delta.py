"""Deltas that carry the changes between two configuration versions."""

from operator import attrgetter

from result import Err, Ok, Result

from ..generated.messages import Configuration, ConfigurationDelta, Service

# Base version of a delta that carries all services.
NO_BASE_VERSION = 0


def compute_delta(
    base: Configuration | None, newer: Configuration
) -> ConfigurationDelta:
    """Return the changes from `base` to `newer`.

    Without a base the delta carries all services.
    """
    held_by_id = _services_by_id(base)
    newer_by_id = _services_by_id(newer)
    return ConfigurationDelta(
        base_version=NO_BASE_VERSION if base is None else base.version,
        version=newer.version,
        operation_id=newer.operation_id,
        changed=[
            service
            for service in newer.services
            if held_by_id.get(service.service_id) != service
        ],
        removed=sorted(held_by_id.keys() - newer_by_id.keys()),
    )


def apply_delta(
    held: Configuration | None, delta: ConfigurationDelta
) -> Result[Configuration, str]:
    """Return the configuration after the delta, sorted by service id.

    The error says that `held` is not the base version of the delta.
    """
    services_by_id: dict[int, Service] = {}
    if delta.base_version != NO_BASE_VERSION:
        if held is None or held.version != delta.base_version:
            return Err(f'base version {delta.base_version} is not held')
        services_by_id = _services_by_id(held)
    for removed_id in delta.removed:
        services_by_id.pop(removed_id, None)
    for added in delta.changed:
        services_by_id[added.service_id] = added
    services = sorted(services_by_id.values(), key=attrgetter('service_id'))
    return Ok(
        Configuration(
            version=delta.version,
            operation_id=delta.operation_id,
            services=services,
        )
    )


def _services_by_id(configuration: Configuration | None) -> dict[int, Service]:
    if configuration is None:
        return {}
    return {service.service_id: service for service in configuration.services}
