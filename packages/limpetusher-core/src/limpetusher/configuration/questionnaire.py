"""Questionnaire for teams, from whose answers a customer's configuration is derived.

A team describes each kind of work: the service, the request rate, the length of requests and the longest
acceptable wait. Share, patience and queue limit are derived from these, each with the reason for its value.
"""

import enum
import math
from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from limpetusher.configuration.document import (
    ApiKeyModel,
    ConfigurationModel,
    CustomerModel,
    Name,
    Seconds,
    describe_problem,
)
from limpetusher.errors import ConfigurationError

COST_UNITS_PER_PROMPT_TOKEN = 0.25
COST_UNITS_PER_SECOND_PER_SHARE = 100.0
MINIMUM_SHARE = 0.1
QUEUE_RESERVE_FACTOR = 1.5
MINIMUM_QUEUE_LIMIT = 10
MAXIMUM_QUEUE_LIMIT = 100_000


class WorkKind(enum.StrEnum):
    """Kind of work that a team describes."""

    DRAFT = "draft"
    """Drafts from long histories, with a person waiting for the result."""
    SUMMARY = "summary"
    """Summaries or reports that nobody waits for, such as overnight batches."""
    CHAT = "chat"
    """Live answers to callers."""
    CALL = "call"
    """Calls to application services."""


@dataclass(frozen=True, slots=True)
class WorkDefaults:
    """Values assumed for a kind of work where the team gives no answer."""

    wait_seconds: float
    prompt_tokens: int
    answer_tokens: int


DEFAULTS_BY_KIND = {
    WorkKind.DRAFT: WorkDefaults(wait_seconds=60.0, prompt_tokens=12_000, answer_tokens=800),
    WorkKind.SUMMARY: WorkDefaults(wait_seconds=14_400.0, prompt_tokens=20_000, answer_tokens=1_500),
    WorkKind.CHAT: WorkDefaults(wait_seconds=10.0, prompt_tokens=1_500, answer_tokens=250),
    WorkKind.CALL: WorkDefaults(wait_seconds=15.0, prompt_tokens=0, answer_tokens=100),
}


class _StrictAnswers(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class WorkAnswers(_StrictAnswers):
    """Answers about one kind of work. None means that the team does not know."""

    service: Name
    kind: Annotated[WorkKind, Field(strict=False)]
    longest_wait_seconds: Seconds | None = None
    requests_per_hour: Annotated[float, Field(gt=0, le=1e8, allow_inf_nan=False)]
    prompt_tokens: Annotated[int, Field(ge=0, le=10_000_000)] | None = None
    answer_tokens: Annotated[int, Field(ge=1, le=10_000_000)] | None = None


class TeamAnswers(_StrictAnswers):
    """Answers of a team. `share` is set only if one was agreed with the operators."""

    customer_id: Name
    work: Annotated[list[WorkAnswers], Field(min_length=1)]
    share: Annotated[float, Field(gt=0, le=1_000_000, allow_inf_nan=False)] | None = None


@dataclass(frozen=True, slots=True)
class DerivedValue:
    """Derived field of a customer's configuration and the reason for its value."""

    field: str
    value: object
    reason: str

    def __str__(self) -> str:
        """Return a one-line description."""
        return f"{self.field} = {self.value}: {self.reason}"


@dataclass(frozen=True, slots=True)
class DerivedCustomer:
    """Customer's configuration and the reasons for its derived values."""

    customer: CustomerModel
    derived_values: tuple[DerivedValue, ...]


def example_answers() -> TeamAnswers:
    """Return example answers, used as a template."""
    return TeamAnswers(
        customer_id="example-team",
        work=[
            WorkAnswers(
                service="assessor",
                kind=WorkKind.DRAFT,
                longest_wait_seconds=30.0,
                requests_per_hour=600.0,
                prompt_tokens=12_000,
                answer_tokens=800,
            ),
            WorkAnswers(
                service="summariser",
                kind=WorkKind.SUMMARY,
                longest_wait_seconds=14_400.0,
                requests_per_hour=100.0,
            ),
        ],
    )


def load_answers(document: bytes) -> TeamAnswers:
    """Parse and validate the answers of a team.

    Raises
    ------
    ConfigurationError
        With every problem found.
    """
    try:
        answers = TeamAnswers.model_validate_json(document)
    except ValidationError as error:
        raise ConfigurationError([describe_problem(problem) for problem in error.errors()]) from None
    names = [work.service for work in answers.work]
    repeated = sorted({name for name in names if names.count(name) > 1})
    if repeated:
        raise ConfigurationError([f"work: service {name!r} is described more than once" for name in repeated])
    return answers


def derive_customer(answers: TeamAnswers, api_keys: list[ApiKeyModel]) -> DerivedCustomer:
    """Derive a customer's configuration from a team's answers."""
    patience_values = [_derive_patience(work) for work in answers.work]
    share = _derive_share(answers)
    queue_limit = _derive_queue_limit(answers)
    shortest_patience = min(patience_values, key=lambda patience: patience.value)
    default_patience = DerivedValue(
        "default_patience_seconds", shortest_patience.value, "the shortest patience among the team's services"
    )
    customer = CustomerModel(
        customer_id=answers.customer_id,
        share=share.value,
        api_keys=api_keys,
        services=[work.service for work in answers.work],
        queue_limit=queue_limit.value,
        default_patience_seconds=default_patience.value,
        patience_seconds={
            work.service: patience.value for work, patience in zip(answers.work, patience_values, strict=True)
        },
    )
    return DerivedCustomer(customer, (share, *patience_values, default_patience, queue_limit))


def merge_customer(model: ConfigurationModel, customer: CustomerModel) -> ConfigurationModel:
    """Return the next version of a document with the customer added or replaced.

    A replaced customer keeps its API keys.
    """
    customers = list(model.customers)
    for index, existing in enumerate(customers):
        if existing.customer_id == customer.customer_id:
            keys = [*existing.api_keys, *customer.api_keys]
            customers[index] = customer.model_copy(update={"api_keys": keys})
            break
    else:
        customers.append(customer)
    return model.model_copy(update={"customers": customers, "version": model.version + 1})


def _derive_patience(work: WorkAnswers) -> DerivedValue:
    field = f"patience_seconds[{work.service}]"
    if work.longest_wait_seconds is None:
        wait_seconds = DEFAULTS_BY_KIND[work.kind].wait_seconds
        return DerivedValue(
            field, wait_seconds, f"the default for {work.kind.value} work, as no wait was given"
        )
    return DerivedValue(
        field, work.longest_wait_seconds, "the longest time that a request may wait before its answer starts"
    )


def _estimate_request_cost(work: WorkAnswers) -> float:
    defaults = DEFAULTS_BY_KIND[work.kind]
    prompt_tokens = defaults.prompt_tokens if work.prompt_tokens is None else work.prompt_tokens
    answer_tokens = defaults.answer_tokens if work.answer_tokens is None else work.answer_tokens
    return prompt_tokens * COST_UNITS_PER_PROMPT_TOKEN + answer_tokens


def _derive_share(answers: TeamAnswers) -> DerivedValue:
    if answers.share is not None:
        return DerivedValue("share", answers.share, "agreed with the operators, as stated in the answers")
    cost_per_second = sum(
        work.requests_per_hour / 3600 * _estimate_request_cost(work) for work in answers.work
    )
    share = max(MINIMUM_SHARE, float(f"{cost_per_second / COST_UNITS_PER_SECOND_PER_SHARE:.2g}"))
    return DerivedValue(
        "share",
        share,
        f"the work costs {cost_per_second:.0f} units/s in its busiest hour (answer tokens + "
        f"{COST_UNITS_PER_PROMPT_TOKEN} x prompt tokens); a share of 1 stands for "
        f"{COST_UNITS_PER_SECOND_PER_SHARE:.0f} units/s, and the minimum is {MINIMUM_SHARE}",
    )


def _derive_queue_limit(answers: TeamAnswers) -> DerivedValue:
    expected_requests = sum(
        work.requests_per_hour / 3600 * _derive_patience(work).value for work in answers.work
    )
    limit = math.ceil(expected_requests * QUEUE_RESERVE_FACTOR)
    limit = min(max(limit, MINIMUM_QUEUE_LIMIT), MAXIMUM_QUEUE_LIMIT)
    return DerivedValue(
        "queue_limit",
        limit,
        f"at most {expected_requests:.0f} requests arrive within their patience in the busiest hour, "
        f"times {QUEUE_RESERVE_FACTOR}, limited to {MINIMUM_QUEUE_LIMIT} to {MAXIMUM_QUEUE_LIMIT}",
    )
