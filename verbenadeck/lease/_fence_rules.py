"""Waiting times that depend on whether upstreams check fences."""

from verbenadeck.model import (
    ConfigDocument,
    ExceptionRule,
    ServiceName,
    ServicePolicy,
)

_CHECKS_FENCES_FIELD = 'checks_fences'
_REQUEST_TIMEOUT_FIELD = 'request_timeout_s'


def takeover_wait_s(config: ConfigDocument, service: ServiceName) -> float:
    """Return how long a takeover waits for requests that may still run.

    An upstream that checks fences refuses late requests itself. For other
    upstreams the new owner waits for the longest request timeout, over the
    default and all exceptions.

    Parameters
    ----------
    config : ConfigDocument
        Configuration with the policy of the service and its exceptions.
    service : ServiceName
        Service of the shards that are taken over.

    Returns
    -------
    float
        Wait in seconds; 0 if every upstream checks fences.

    Examples
    --------
    >>> policy = ServicePolicy(checks_fences=False, request_timeout_s=3)
    >>> takeover_wait_s(ConfigDocument(services={'a': policy}), 'a')
    3
    """
    if checks_fences(config, service):
        return 0
    return max_request_timeout_s(config, service)


def checks_fences(config: ConfigDocument, service: ServiceName) -> bool:
    """Return whether every upstream of a service checks fences.

    Parameters
    ----------
    config : ConfigDocument
        Configuration with the policy of the service and its exceptions.
    service : ServiceName
        Service to look up.
    """
    policy = config.services.get(service, ServicePolicy())
    return policy.checks_fences and all(
        rule.setting
        for rule in _matching_exceptions(config, service, _CHECKS_FENCES_FIELD)
    )


def max_request_timeout_s(
    config: ConfigDocument, service: ServiceName
) -> float:
    """Return the longest request timeout over the default and exceptions.

    Parameters
    ----------
    config : ConfigDocument
        Configuration with the policy of the service and its exceptions.
    service : ServiceName
        Service to look up.

    Returns
    -------
    float
        Timeout in seconds.
    """
    policy = config.services.get(service, ServicePolicy())
    exceptional_s = [
        float(rule.setting)
        for rule in _matching_exceptions(
            config, service, _REQUEST_TIMEOUT_FIELD
        )
    ]
    return max(policy.request_timeout_s, *exceptional_s, 0)


def _matching_exceptions(
    config: ConfigDocument, service: ServiceName, field: str
) -> list[ExceptionRule]:
    return [
        rule
        for rule in config.exceptions
        if rule.field == field and rule.service in {service, None}
    ]
