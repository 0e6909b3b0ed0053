"""Fleet of real processes on loopback addresses: routers, stand-ins and an optional fault-injecting proxy."""

import concurrent.futures
import json
import shutil
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from limpetusher_standins.blocking_http import Reply, call, get_status
from limpetusher_standins.deployment import CustomerPlan, DeploymentPlan
from limpetusher_standins.ports import PortBlock
from limpetusher_standins.processes import ManagedProcess, stop_all
from limpetusher_standins.proxy import LinkMode

PLATFORM = "platform"
PROXY = "proxy"
PEER_KEY = "limpetusher-development-peer-key"
MODEL_VERSION = "1"
READY_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.05


class FleetError(Exception):
    """A process of the fleet did not start, or ended unexpectedly."""


@dataclass(frozen=True, slots=True)
class FleetHost:
    """A host of the fleet. Routers have three addresses, targets one."""

    host_id: str
    data_centre: str
    address: str
    target_class: str | None = None
    caller_address: str | None = None
    admin_address: str | None = None

    def document(self, state: str) -> dict:
        """Return the host in the form of the host list."""
        return {
            "host_id": self.host_id,
            "role": "router" if self.target_class is None else "target",
            "data_centre": self.data_centre,
            "address": self.address,
            "state": state,
            "target_class": self.target_class,
            "admin_address": self.admin_address,
        }


def command_line_flags(options: dict[str, object]) -> list[str]:
    """Return the command-line flags of options that are named as in Python."""
    arguments = []
    for name, value in options.items():
        flag = name.replace("_", "-")
        if isinstance(value, bool):
            arguments.append(f"--{flag}" if value else f"--no-{flag}")
        elif isinstance(value, (tuple, list)):
            for entry in value:
                arguments += [f"--{flag}", str(entry)]
        else:
            arguments += [f"--{flag}", str(value)]
    return arguments


class Fleet:
    """A deployment as real processes. Used as a context manager, it ends its processes with the block.

    Parameters
    ----------
    plan
        Size and properties of the deployment.
    folder
        Folder for the logs; a temporary one, deleted at the end, if None.
    """

    def __init__(self, plan: DeploymentPlan, folder: Path | None = None):
        self.plan = plan
        self.keeps_folder = folder is not None
        self.folder = folder or Path(tempfile.mkdtemp(prefix="limpetusher-fleet-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        self.ports = PortBlock()
        self.platform_address = self.ports.allocate_address()
        self.routers = {host.host_id: host for host in self.plan_routers()}
        self.targets = {host.host_id: host for host in self.plan_targets()}
        self.host_states = dict.fromkeys((*self.routers, *self.targets), "live")
        self.host_list_version = 0
        self.configuration_version = 0
        self.customers: list[CustomerPlan] = plan.customer_plans()
        self.links = self.plan_links() if plan.with_proxy else {}
        self.proxy_address = self.ports.allocate_address() if plan.with_proxy else None
        self.processes: dict[str, ManagedProcess] = {}

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def plan_routers(self) -> list[FleetHost]:
        """Return the routers with their addresses."""
        return [
            FleetHost(
                host_id=f"router-{index + 1}",
                data_centre=self.plan.data_centre_of(index),
                address=self.ports.allocate_address(),
                caller_address=self.ports.allocate_address(),
                admin_address=self.ports.allocate_address(),
            )
            for index in range(self.plan.routers)
        ]

    def plan_targets(self) -> list[FleetHost]:
        """Return the engines and the application replicas with their addresses."""
        counts = {"engine": self.plan.engines, "application": self.plan.applications}
        return [
            FleetHost(
                host_id=f"{kind}-{index + 1}",
                data_centre=self.plan.data_centre_of(index),
                address=self.ports.allocate_address(),
                target_class=kind,
            )
            for kind, count in counts.items()
            for index in range(count)
        ]

    def plan_links(self) -> dict[str, tuple[str, str]]:
        """Return the listening and the target address of each link by its name."""
        links = {}
        for router in self.routers.values():
            others = [host for host in self.routers.values() if host is not router]
            for host in [*others, *self.targets.values()]:
                links[link_name(router.host_id, host.host_id)] = (self.ports.allocate_address(), host.address)
            links[link_name(router.host_id, PLATFORM)] = (
                self.ports.allocate_address(),
                self.platform_address,
            )
        return links

    def start(self) -> None:
        """Start all processes, publish configuration and host list, and wait until all routers are ready."""
        self.add_process(PLATFORM, ["platform", "--listen", self.platform_address], self.platform_options())
        for host in self.targets.values():
            self.add_process(host.host_id, *self.target_command(host))
        if self.plan.with_proxy:
            links = [
                {"name": name, "listen": listen, "target": target}
                for name, (listen, target) in self.links.items()
            ]
            path = self.folder / "links.json"
            path.write_text(json.dumps(links))
            self.add_process(PROXY, ["proxy", "--listen", self.proxy_address, "--links", str(path)])
        self.wait_until(self.are_stand_ins_ready, "the stand-ins answer")
        self.publish(self.plan.configuration())
        self.publish_hosts()
        for router in self.routers.values():
            self.processes[router.host_id] = self.router_process(router)
            self.processes[router.host_id].start()
        self.wait_until_ready()
        for host_id in self.routers:
            # Only the first start of a fleet may skip the waits that protect against an earlier incarnation.
            self.processes[host_id].arguments.remove("--fresh-fleet")

    def stop(self) -> None:
        """End all processes and release the ports."""
        stop_all(list(self.processes.values()))
        self.ports.close()
        if not self.keeps_folder:
            shutil.rmtree(self.folder, ignore_errors=True)

    def add_process(self, name: str, command: list[str], options: dict[str, object] | None = None) -> None:
        """Start a stand-in."""
        arguments = ["limpetusher_standins", *command, *command_line_flags(options or {})]
        self.processes[name] = ManagedProcess(name, arguments, self.folder / f"{name}.log")
        self.processes[name].start()

    def platform_options(self) -> dict[str, object]:
        """Return the options of the platform."""
        return {"host_lag_seconds": self.plan.host_lag_seconds}

    def target_command(self, host: FleetHost) -> tuple[list[str], dict[str, object]]:
        """Return the command and the options of a target."""
        if host.target_class == "application":
            command = ["application", "--listen", host.address, "--name", host.host_id]
            return command, self.plan.application_options
        options = {
            "slots": self.plan.slots,
            "cold_slots": self.plan.cold_slots,
            "cold_seconds": self.plan.cold_seconds,
            "checks_fencing_number": self.plan.checks_fencing_number,
            "weight_store": self.platform_address,
            "models": [f"{model}@{MODEL_VERSION}" for model in self.plan.models],
            "seed": self.plan.seed + int(host.host_id.rsplit("-", 1)[1]),
            **self.plan.engine_options,
        }
        return ["engine", "--listen", host.address], options

    def router_process(self, router: FleetHost) -> ManagedProcess:
        """Return the process of a router."""
        options = {
            "host_id": router.host_id,
            "data_centre": router.data_centre,
            "caller_address": router.caller_address,
            "peer_address": router.address,
            "admin_address": router.admin_address,
            "platform_urls": f"http://{self.platform_address}",
            **self.plan.router_options,
        }
        environment = {"LIMPETUSHER_PEER_KEY": PEER_KEY}
        if self.links:
            prefix = link_name(router.host_id, "")
            environment["LIMPETUSHER_ADDRESS_MAP"] = ",".join(
                f"{target}={listen}"
                for name, (listen, target) in self.links.items()
                if name.startswith(prefix)
            )
        arguments = [*self.plan.router_program, *command_line_flags(options), "--fresh-fleet"]
        return ManagedProcess(router.host_id, arguments, self.folder / f"{router.host_id}.log", environment)

    def are_stand_ins_ready(self) -> bool:
        """Return whether all stand-ins answer."""
        paths = {PLATFORM: (self.platform_address, "/record"), PROXY: (self.proxy_address, "/links")}
        for name, process in self.processes.items():
            address, path = paths.get(name) or (self.targets[name].address, "/load")
            self.check_running(process)
            if get_status(address, path) != 200:
                return False
        return True

    def check_running(self, process: ManagedProcess) -> None:
        """Raise FleetError if a process has ended."""
        if process.exit_status is not None:
            raise FleetError(f"{process.name} ended with {process.exit_status}:\n{process.log_tail()}")

    def is_ready(self, host_id: str) -> bool:
        """Return whether a router is ready."""
        return get_status(self.routers[host_id].admin_address, "/readyz") == 200

    def wait_until_ready(self, host_ids: tuple[str, ...] | None = None) -> None:
        """Wait until the named routers, or all, are ready."""
        waiting = set(host_ids or self.routers)

        def all_ready() -> bool:
            for host_id in list(waiting):
                self.check_running(self.processes[host_id])
                if self.is_ready(host_id):
                    waiting.discard(host_id)
            return not waiting

        self.wait_until(all_ready, "all routers are ready")

    def wait_until(self, condition, description: str, seconds: float = READY_TIMEOUT_SECONDS) -> None:
        """Poll `condition` until it holds.

        Raises
        ------
        FleetError
            If it does not hold within `seconds`; the message has the last log lines of all processes.
        """
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                tails = [f"{name}: {process.log_tail(3)}" for name, process in self.processes.items()]
                raise FleetError(f"not within {seconds} s: {description}\n" + "\n".join(tails))
            time.sleep(POLL_INTERVAL_SECONDS)

    def publish(self, configuration: dict, *, force: bool = False) -> Reply:
        """Publish a configuration document as the operator."""
        path = "/control/configuration" + ("?force=1" if force else "")
        reply = call(self.platform_address, "PUT", path, configuration)
        if reply.status == 200:
            self.configuration_version = max(self.configuration_version, configuration["version"])
        return reply

    def set_out_of_service(self, *data_centres: str) -> int:
        """Publish a configuration with exactly these data centres out of service; return its version."""
        version = self.configuration_version + 1
        self.publish(self.plan.configuration(version=version, out=data_centres))
        return version

    def publish_hosts(self) -> None:
        """Publish the host list as the platform's operator."""
        self.host_list_version += 1
        call(self.platform_address, "PUT", "/control/hosts", self.host_list())

    def host_list(self) -> dict:
        """Return the host list with the current states."""
        hosts = [
            host.document(self.host_states[host.host_id])
            for host in (*self.routers.values(), *self.targets.values())
            if host.host_id in self.host_states
        ]
        return {"version": max(1, self.host_list_version), "hosts": hosts}

    def set_host_state(self, host_id: str, state: str | None) -> None:
        """Publish a host list with another state of a host; None removes the host."""
        if state is None:
            self.host_states.pop(host_id, None)
        else:
            self.host_states[host_id] = state
        self.publish_hosts()

    def set_platform_switches(self, **switches: object) -> None:
        """Set the platform's switches `down`, `stale` and `host_lag_seconds`."""
        call(self.platform_address, "POST", "/control/switches", switches)

    def set_links(self, names: list[str], mode: LinkMode, **options: object) -> None:
        """Set the mode of links by their names (`link_name`)."""
        reply = call(self.proxy_address, "POST", "/mode", {"links": names, "mode": mode, **options})
        if reply.status != 200:
            raise FleetError(f"proxy answered {reply.status}: {reply.body!r}")

    def link_states(self) -> list[dict]:
        """Return mode, connections and forwarded bytes of all links."""
        return call(self.proxy_address, "GET", "/links").json()

    def links_between(self, first: set[str], second: set[str]) -> list[str]:
        """Return the links, in both directions, between two sets of hosts (`platform` counts as a host)."""
        pairs = [(name, name.split(">")) for name in self.links]
        return [
            name
            for name, (source, target) in pairs
            if (source in first and target in second) or (source in second and target in first)
        ]

    def hosts_in(self, *data_centres: str) -> set[str]:
        """Return the ids of all hosts in the data centres."""
        hosts = (*self.routers.values(), *self.targets.values())
        return {host.host_id for host in hosts if host.data_centre in data_centres}

    def fetch_record(self, host_id: str) -> dict:
        """Return the record of a target or of the platform."""
        address = self.platform_address if host_id == PLATFORM else self.targets[host_id].address
        return call(address, "GET", "/record").json()

    def fetch_records(self, kind: str) -> dict[str, dict]:
        """Return the records of all targets of a kind (`engine` or `application`) by host id."""
        names = [name for name, host in self.targets.items() if host.target_class == kind]
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            return dict(zip(names, pool.map(self.fetch_record, names), strict=True))

    def post_control(self, host_id: str, path: str, body: object) -> Reply:
        """Send a control request to a target."""
        return call(self.targets[host_id].address, "POST", path, body)


def link_name(source: str, target: str) -> str:
    """Return the name of the link from a router to another host."""
    return f"{source}>{target}"
