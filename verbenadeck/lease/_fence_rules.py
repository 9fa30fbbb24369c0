"""Rules for services whose upstreams do not check fences."""

from verbenadeck.model import (
    ConfigDocument,
    ExceptionRule,
    ServiceName,
    ServicePolicy,
)

_FENCES = 'checks_fences'
_TIMEOUT = 'request_timeout_s'


def takeover_wait_s(config: ConfigDocument, service: ServiceName) -> float:
    """Return how long a takeover waits for orders that may still run.

    An upstream that checks fences refuses late orders itself. Elsewhere the
    new owner waits out the longest deadline of a request, over the default
    and all exceptions.

    Examples
    --------
    >>> policy = ServicePolicy(checks_fences=False, request_timeout_s=3)
    >>> takeover_wait_s(ConfigDocument(services={'a': policy}), 'a')
    3
    """
    if checks_fences(config, service):
        return 0
    return longest_timeout_s(config, service)


def checks_fences(config: ConfigDocument, service: ServiceName) -> bool:
    """Return whether every upstream of a service checks fences."""
    policy = config.services.get(service, ServicePolicy())
    return policy.checks_fences and all(
        rule.setting for rule in _rules(config, service, _FENCES)
    )


def longest_timeout_s(config: ConfigDocument, service: ServiceName) -> float:
    """Return the longest request timeout over the default and exceptions."""
    policy = config.services.get(service, ServicePolicy())
    exceptional_s = [
        float(rule.setting) for rule in _rules(config, service, _TIMEOUT)
    ]
    return max(policy.request_timeout_s, *exceptional_s, 0)


def _rules(
    config: ConfigDocument, service: ServiceName, field: str
) -> list[ExceptionRule]:
    return [
        rule
        for rule in config.exceptions
        if rule.field == field and rule.service in {service, None}
    ]
