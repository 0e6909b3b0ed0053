"""Commands `run` and `load`: a deployment in the foreground, and load on one."""

import asyncio
import dataclasses
import json
import signal
from pathlib import Path

from limpetusher_standins.audit import audit
from limpetusher_standins.deployment import PLANS
from limpetusher_standins.fleet import Fleet
from limpetusher_standins.load_generator import LoadSettings, run_load, summarise


def run_deployment(name: str, *, with_proxy: bool, logs: Path | None) -> int:
    """Start a deployment, print how to use it, and keep it until Ctrl-C or SIGTERM."""
    if name not in PLANS:
        print(f"deployment is {name!r}; allowed: {', '.join(PLANS)}")
        return 2
    try:
        with Fleet(dataclasses.replace(PLANS[name], with_proxy=with_proxy), logs) as fleet:
            write_description(fleet)
            print(describe(fleet), flush=True)
            while True:
                signal.pause()
    except KeyboardInterrupt:
        print("stopped")
    return 0


def write_description(fleet: Fleet) -> None:
    """Write the file with which the command `load` finds a running deployment."""
    routers = [host.caller_address for host in fleet.routers.values()]
    document = {"deployment": fleet.plan.name, "routers": routers}
    (fleet.folder / "fleet.json").write_text(json.dumps(document))


def describe(fleet: Fleet) -> str:
    """Return the addresses of a fleet and a `curl` command for a first request."""
    lines = [f"deployment {fleet.plan.name}, logs in {fleet.folder}"]
    lines += [
        f"{host.host_id:10} {host.data_centre:8} callers http://{host.caller_address}  "
        f"admin http://{host.admin_address}"
        for host in fleet.routers.values()
    ]
    lines += [
        f"{host.host_id:14} {host.data_centre:8} http://{host.address}" for host in fleet.targets.values()
    ]
    lines.append(f"platform http://{fleet.platform_address}")
    if fleet.proxy_address:
        lines.append(f"proxy control http://{fleet.proxy_address}")
    router = next(iter(fleet.routers.values()))
    customer = fleet.customers[0]
    body = f'{{"model": "{fleet.plan.models[0]}", "stream": true, "max_tokens": 20, '
    body += '"messages": [{"role": "user", "content": "Hello"}]}'
    lines.append(
        f"curl -N -H 'Authorization: {customer.authorization}' -H 'Content-Type: application/json' "
        f"-d '{body}' http://{router.caller_address}/v1/chat/completions"
    )
    return "\n".join(lines)


def load_test_deployment(
    name: str, description: Path | None, settings: LoadSettings, *, logs: Path | None = None
) -> int:
    """Send load and print its report; return 1 if an answer was wrong or a record contradicts the callers."""
    if description is not None:
        running = json.loads(description.read_text())
        plan = PLANS[running["deployment"]]
        customers = plan.customer_plans()
        run = asyncio.run(run_load(plan, customers, running["routers"], settings))
        report = summarise(run, customers)
        print(json.dumps(report))
        return 1 if "wrong" in report["outcomes"] else 0
    with Fleet(PLANS[name], logs) as fleet:
        routers = [host.caller_address for host in fleet.routers.values()]
        run = asyncio.run(run_load(fleet.plan, fleet.customers, routers, settings))
        found = audit(fleet, run.results)
    print(json.dumps({**summarise(run, fleet.customers), "audit": dataclasses.asdict(found)}))
    return 0 if found.is_clean else 1
