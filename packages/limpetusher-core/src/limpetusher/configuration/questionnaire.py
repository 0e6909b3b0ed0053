"""Questionnaire of a new team: its answers become a customer's configuration.

A team describes each kind of work: what it asks for, how often, how long its requests are and how long it can
wait. Share, patience and queue limit are derived from that, each with an explanation.
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

PROMPT_TOKEN_COST = 0.25
COST_PER_SECOND_OF_SHARE_1 = 100.0
LEAST_SHARE = 0.1
QUEUE_RESERVE = 1.5
LEAST_QUEUE_LIMIT = 10
GREATEST_QUEUE_LIMIT = 100_000


class WorkKind(enum.StrEnum):
    """Kinds of work a team can name."""

    DRAFT = "draft"
    """Drafts from long histories, for a person who waits."""
    SUMMARY = "summary"
    """Summaries or reports that nobody waits for, such as overnight ones."""
    CHAT = "chat"
    """Live answers to callers."""
    CALL = "call"
    """Calls of application services."""


@dataclass(frozen=True, slots=True)
class Usual:
    """What is assumed of a kind of work where the team has no answer."""

    wait_seconds: float
    prompt_tokens: int
    answer_tokens: int


USUAL = {
    WorkKind.DRAFT: Usual(wait_seconds=60.0, prompt_tokens=12_000, answer_tokens=800),
    WorkKind.SUMMARY: Usual(wait_seconds=14_400.0, prompt_tokens=20_000, answer_tokens=1_500),
    WorkKind.CHAT: Usual(wait_seconds=10.0, prompt_tokens=1_500, answer_tokens=250),
    WorkKind.CALL: Usual(wait_seconds=15.0, prompt_tokens=0, answer_tokens=100),
}


class _Answers(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class WorkAnswers(_Answers):
    """Answers about one kind of work. None stands for "we do not know"."""

    service: Name
    kind: Annotated[WorkKind, Field(strict=False)]
    longest_wait_seconds: Seconds | None = None
    requests_per_hour: Annotated[float, Field(gt=0, le=1e8, allow_inf_nan=False)]
    prompt_tokens: Annotated[int, Field(ge=0, le=10_000_000)] | None = None
    answer_tokens: Annotated[int, Field(ge=1, le=10_000_000)] | None = None


class TeamAnswers(_Answers):
    """Answers of a team. `share` is set when one was agreed with the operators."""

    customer_id: Name
    work: Annotated[list[WorkAnswers], Field(min_length=1)]
    share: Annotated[float, Field(gt=0, le=1_000_000, allow_inf_nan=False)] | None = None


@dataclass(frozen=True, slots=True)
class DerivedValue:
    """A derived field of the customer's configuration and the reason for its value."""

    field: str
    value: object
    reason: str

    def __str__(self) -> str:
        """Return one line for people."""
        return f"{self.field} = {self.value}: {self.reason}"


@dataclass(frozen=True, slots=True)
class DerivedCustomer:
    """A customer's configuration and how each of its values came about."""

    customer: CustomerModel
    derived: tuple[DerivedValue, ...]


def example_answers() -> TeamAnswers:
    """Return example answers to start from."""
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
    """Return the checked answers of a team.

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
    waits = [_patience(work) for work in answers.work]
    share = _share(answers)
    queue_limit = _queue_limit(answers)
    shortest = min(waits, key=lambda wait: wait.value)
    default = DerivedValue(
        "default_patience_seconds", shortest.value, "the shortest wait of all the team's work"
    )
    customer = CustomerModel(
        customer_id=answers.customer_id,
        share=share.value,
        api_keys=api_keys,
        services=[work.service for work in answers.work],
        queue_limit=queue_limit.value,
        default_patience_seconds=default.value,
        patience_seconds={work.service: wait.value for work, wait in zip(answers.work, waits, strict=True)},
    )
    return DerivedCustomer(customer, (share, *waits, default, queue_limit))


def merge_customer(model: ConfigurationModel, customer: CustomerModel) -> ConfigurationModel:
    """Return the next version of a document with the customer added or replaced.

    A customer that is replaced keeps its API keys.
    """
    customers = list(model.customers)
    for index, present in enumerate(customers):
        if present.customer_id == customer.customer_id:
            keys = [*present.api_keys, *customer.api_keys]
            customers[index] = customer.model_copy(update={"api_keys": keys})
            break
    else:
        customers.append(customer)
    return model.model_copy(update={"customers": customers, "version": model.version + 1})


def _patience(work: WorkAnswers) -> DerivedValue:
    field = f"patience_seconds[{work.service}]"
    if work.longest_wait_seconds is None:
        usual = USUAL[work.kind].wait_seconds
        return DerivedValue(field, usual, f"the usual wait for {work.kind.value} work, as none was given")
    return DerivedValue(
        field, work.longest_wait_seconds, "the longest time that a request may wait before its answer starts"
    )


def _cost(work: WorkAnswers) -> float:
    usual = USUAL[work.kind]
    prompt = usual.prompt_tokens if work.prompt_tokens is None else work.prompt_tokens
    answer = usual.answer_tokens if work.answer_tokens is None else work.answer_tokens
    return prompt * PROMPT_TOKEN_COST + answer


def _share(answers: TeamAnswers) -> DerivedValue:
    if answers.share is not None:
        return DerivedValue("share", answers.share, "as agreed in the answers")
    cost_per_second = sum(work.requests_per_hour / 3600 * _cost(work) for work in answers.work)
    share = max(LEAST_SHARE, float(f"{cost_per_second / COST_PER_SECOND_OF_SHARE_1:.2g}"))
    return DerivedValue(
        "share",
        share,
        f"the work costs {cost_per_second:.0f} units/s in its busiest hour (answer tokens + "
        f"{PROMPT_TOKEN_COST} x prompt tokens); share 1 stands for {COST_PER_SECOND_OF_SHARE_1:.0f} units/s, "
        f"and {LEAST_SHARE} is the least",
    )


def _queue_limit(answers: TeamAnswers) -> DerivedValue:
    waiting = sum(work.requests_per_hour / 3600 * _patience(work).value for work in answers.work)
    limit = math.ceil(waiting * QUEUE_RESERVE)
    limit = min(max(limit, LEAST_QUEUE_LIMIT), GREATEST_QUEUE_LIMIT)
    return DerivedValue(
        "queue_limit",
        limit,
        f"at most {waiting:.0f} requests arrive within their patience in the busiest hour, "
        f"times {QUEUE_RESERVE}, between {LEAST_QUEUE_LIMIT} and {GREATEST_QUEUE_LIMIT}",
    )
