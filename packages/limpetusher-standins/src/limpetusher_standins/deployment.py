"""Plans of deployments: their hosts, customers, configuration document and host list."""

import hashlib
import random
from dataclasses import dataclass, field, replace

SECRET_BITS = 128


@dataclass(frozen=True, slots=True, kw_only=True)
class ApplicationRoute:
    """A route of an application service."""

    method: str
    path_prefix: str
    idempotent: bool

    def document(self) -> dict:
        """Return the route in the form of the configuration document."""
        return {"method": self.method, "path_prefix": self.path_prefix, "idempotent": self.idempotent}


@dataclass(frozen=True, slots=True, kw_only=True)
class CustomerPlan:
    """A customer and the secret of its API key."""

    customer_id: str
    share: float
    key_id: str
    salt: str
    secret: str

    @property
    def authorization(self) -> str:
        """Return the value of the header that authenticates the customer."""
        return f"Bearer {self.key_id}.{self.secret}"

    def api_key_document(self) -> dict:
        """Return the key in the form of the configuration document."""
        digest = hashlib.sha256(bytes.fromhex(self.salt) + self.secret.encode()).hexdigest()
        return {"key_id": self.key_id, "salt": self.salt, "digest": digest}


@dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentPlan:
    """Size and properties of a deployment. Hosts are spread evenly over the data centres.

    `engine_options` and `application_options` are flags of the stand-ins; `router_options` are settings of
    the routers by name.
    """

    name: str
    data_centres: tuple[str, ...]
    routers: int
    engines: int
    applications: int
    customers: int
    large_customers: int = 0
    large_share: float = 4.0
    models: tuple[str, ...] = ("assessor",)
    application_service: str = "crew"
    application_routes: tuple[ApplicationRoute, ...] = ()
    slots: int = 8
    cold_slots: int = 2
    cold_seconds: float = 3.0
    application_slots: int = 16
    queue_limit: int = 1000
    patience_seconds: float = 60.0
    host_lag_seconds: float = 0.0
    checks_fencing_number: bool = True
    engine_options: dict[str, object] = field(default_factory=dict)
    application_options: dict[str, object] = field(default_factory=dict)
    router_program: tuple[str, ...] = ("limpetusher_router",)
    """Module to run, followed by its command if it has several."""
    router_options: dict[str, object] = field(default_factory=dict)
    with_proxy: bool = False
    seed: int = 1

    def data_centre_of(self, index: int) -> str:
        """Return the data centre of the host with the given index within its kind."""
        return self.data_centres[index % len(self.data_centres)]

    def customer_plans(self) -> list[CustomerPlan]:
        """Return the customers, the large ones first; the same seed gives the same keys."""
        rng = random.Random(self.seed)
        return [
            CustomerPlan(
                customer_id=f"customer-{index + 1:02d}",
                share=self.large_share if index < self.large_customers else 1.0,
                key_id=f"key{index + 1:02d}",
                salt=f"{rng.getrandbits(SECRET_BITS):032x}",
                secret=f"{rng.getrandbits(SECRET_BITS):032x}",
            )
            for index in range(self.customers)
        ]

    def configuration(self, *, version: int = 1, out: tuple[str, ...] = ()) -> dict:
        """Return a configuration document; the data centres in `out` are out of service."""
        services = [*self.models, self.application_service]
        return {
            "version": version,
            "customers": [
                {
                    "customer_id": customer.customer_id,
                    "share": customer.share,
                    "api_keys": [customer.api_key_document()],
                    "services": services,
                    "queue_limit": self.queue_limit,
                    "default_patience_seconds": self.patience_seconds,
                    "patience_seconds": {},
                }
                for customer in self.customer_plans()
            ],
            "services": [
                *(
                    {"name": model, "kind": "engine", "default_cost": 100.0, "routes": []}
                    for model in self.models
                ),
                {
                    "name": self.application_service,
                    "kind": "application",
                    "default_cost": 10.0,
                    "routes": [route.document() for route in self.application_routes],
                },
            ],
            "target_classes": self.target_classes(),
            "data_centres": [
                {"name": name, "state": "out" if name in out else "in"} for name in self.data_centres
            ],
            "placements": [],
            "weight_loads_per_minute": 6.0,
        }

    def target_classes(self) -> list[dict]:
        """Return the classes of the engines and of the application replicas."""
        return [
            {
                "name": "engine",
                "kind": "engine",
                "services": list(self.models),
                "slots": self.slots,
                "cold_slots": self.cold_slots,
                "checks_fencing_number": self.checks_fencing_number,
            },
            {
                "name": "application",
                "kind": "application",
                "services": [self.application_service],
                "slots": self.application_slots,
                "cold_slots": self.application_slots,
                "checks_fencing_number": False,
            },
        ]


CREW_ROUTES = (
    ApplicationRoute(method="POST", path_prefix="/dispatch", idempotent=False),
    ApplicationRoute(method="GET", path_prefix="/status", idempotent=True),
)
VISIT_ROUTES = (
    ApplicationRoute(method="POST", path_prefix="/bookings", idempotent=False),
    ApplicationRoute(method="POST", path_prefix="/requests", idempotent=False),
    ApplicationRoute(method="GET", path_prefix="/status", idempotent=True),
)

CONSORTIUM = DeploymentPlan(
    name="consortium",
    data_centres=("north", "east", "south", "west"),
    routers=8,
    engines=10,
    applications=4,
    customers=16,
    large_customers=3,
    models=("assessor", "summariser", "chatter"),
    application_service="crew",
    application_routes=CREW_ROUTES,
)
CALOREDES = replace(
    CONSORTIUM,
    name="caloredes",
    engines=5,
    models=("drafts", "summaries", "chats"),
    application_service="visits",
    application_routes=VISIT_ROUTES,
)
SMALL = replace(
    CONSORTIUM,
    name="small",
    data_centres=("north", "east"),
    routers=2,
    engines=2,
    applications=2,
    customers=4,
    large_customers=1,
)


def with_baseline(plan: DeploymentPlan, policy: str) -> DeploymentPlan:
    """Return the same deployment with baseline routers (`first-come` or `fixed-split`)."""
    return replace(
        plan,
        name=f"{plan.name}-{policy}",
        router_program=("limpetusher_standins", "baseline"),
        router_options={"policy": policy},
    )


PLANS = {plan.name: plan for plan in (CONSORTIUM, CALOREDES, SMALL)}
