"""Rules for services whose upstreams do not check fences."""

from verbenadeck.model import ConfigDocument, ServiceName, ServicePolicy

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
    policy = config.services.get(service, ServicePolicy())
    rules = [
        rule
        for rule in config.exceptions
        if rule.service in {service, None}
    ]
    is_checked = policy.checks_fences and all(
        rule.setting for rule in rules if rule.field == _FENCES
    )
    if is_checked:
        return 0
    longest_s = [
        float(rule.setting) for rule in rules if rule.field == _TIMEOUT
    ]
    return max(policy.request_timeout_s, *longest_s, 0)


def checks_fences(config: ConfigDocument, service: ServiceName) -> bool:
    """Return whether every upstream of a service checks fences."""
    return takeover_wait_s(config, service) == 0
