"""Builders for tests of the router."""

from verbenadeck.door.tests.builders import Node, Site
from verbenadeck.router import Choose, DoorRouter, choose_by_wait


def make_router(
    site: Site, node: Node, *, choose: Choose = choose_by_wait
) -> DoorRouter:
    return DoorRouter(
        node_id=node.node_id,
        zone=node.zone,
        door=node.door,
        fleet=site.fleet,
        peers=node.port,
        clock=site.clock,
        random_source=node.random,
        choose=choose,
    )
