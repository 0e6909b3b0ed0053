"""Settings of the decision policy."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicySettings:
    """Constants of the policy; times in seconds, costs in cost units (generated tokens)."""

    exchange_interval_seconds: float = 0.25
    peer_timeout_seconds: float = 1.0
    peer_forget_seconds: float = 900.0
    share_lease_seconds: float = 2.0
    grant_valid_seconds: float = 1.0
    held_timeout_seconds: float = 5.0
    borrow_after_seconds: float = 3.0
    demand_spread_seconds: float = 0.01
    catch_up_window_cost: float = 200_000.0
    prompt_token_cost: float = 0.25
    hint_factor: float = 2.0
    estimate_weight: float = 0.1
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    maximum_attempts: int = 3
    idempotency_window_seconds: float = 120.0
    witness_count: int = 3
    kept_answer_bytes: int = 65_536
    register_timeout_seconds: float = 0.5
    stop_grace_seconds: float = 120.0
    order_dwell_seconds: float = 300.0
    explanation_records: int = 2000
    fresh_fleet: bool = False

    @property
    def takeover_wait_seconds(self) -> float:
        """Return how long a slot stays unused before it is lent to another owner."""
        return self.share_lease_seconds + self.grant_valid_seconds
