"""Tests of the deployment plans."""

import dataclasses
import json

import pytest

from limpetusher.configuration.document import load_configuration, load_host_list
from limpetusher_standins.deployment import PLANS, DeploymentPlan
from limpetusher_standins.fleet import Fleet


@pytest.mark.parametrize("plan", PLANS.values(), ids=PLANS.keys())
def test_documents_of_the_plans_are_valid(plan: DeploymentPlan):
    """Guards against deployments whose configuration the routers reject."""
    configuration = load_configuration(json.dumps(plan.configuration(out=plan.data_centres[:1])).encode())
    assert len(configuration.customers) == plan.customers
    fleet = Fleet(dataclasses.replace(plan, with_proxy=True))
    try:
        host_list = load_host_list(json.dumps(fleet.host_list()).encode())
        assert len(host_list.hosts) == plan.routers + plan.engines + plan.applications
        targets = plan.routers - 1 + plan.engines + plan.applications
        assert len(fleet.links) == plan.routers * (targets + 1)
    finally:
        fleet.stop()
