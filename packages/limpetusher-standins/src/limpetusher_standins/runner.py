"""Command `run`: a deployment in the foreground."""

import dataclasses
import signal
from pathlib import Path

from limpetusher_standins.deployment import PLANS
from limpetusher_standins.fleet import Fleet


def run_deployment(name: str, *, with_proxy: bool, logs: Path | None) -> int:
    """Start a deployment, print how to use it, and keep it until Ctrl-C or SIGTERM."""
    if name not in PLANS:
        print(f"deployment is {name!r}; allowed: {', '.join(PLANS)}")
        return 2
    # SIGTERM is handled like Ctrl-C, so that the processes of the fleet are ended in both cases.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        with Fleet(dataclasses.replace(PLANS[name], with_proxy=with_proxy), logs) as fleet:
            print(describe(fleet), flush=True)
            while True:
                signal.pause()
    except KeyboardInterrupt:
        print("stopped")
    return 0


def describe(fleet: Fleet) -> str:
    """Return the addresses of a fleet and a ready command line for a first request."""
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
