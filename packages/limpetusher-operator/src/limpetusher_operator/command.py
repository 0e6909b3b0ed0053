"""Command line of the operator tool."""

import json
import sys
from importlib.metadata import version
from pathlib import Path
from typing import Annotated

from cyclopts import App, CycloptsError, Parameter

from limpetusher.configuration.compiled import DataCentreState
from limpetusher.configuration.difference import compare_documents
from limpetusher.configuration.document import (
    ConfigurationModel,
    dump_document,
    load_host_list,
    parse_document,
    revalidate_model,
)
from limpetusher.configuration.questionnaire import (
    DerivedCustomer,
    TeamAnswers,
    derive_customer,
    example_answers,
    load_answers,
    merge_customer,
)
from limpetusher.errors import ConfigurationError
from limpetusher_operator import admin, report
from limpetusher_operator.drains import with_data_centre_state
from limpetusher_operator.errors import OperatorError
from limpetusher_operator.fairness import FairnessReport, format_report
from limpetusher_operator.files import (
    problems_prefixed_by,
    read_document,
    read_file,
    read_lines,
    write_document,
    write_output,
)
from limpetusher_operator.keys import NewApiKey, generate_api_key

ERROR_EXIT_STATUS = 2

app = App(
    name="limpetusher",
    help="Operator tool of a limpetusher fleet. Errors are reported with exit status 2.",
    version=lambda: version("limpetusher-operator"),
)
app.register_install_completion_command()

RouterAddresses = Annotated[list[str], Parameter(name="--router", negative="", consume_multiple=True)]


@app.command
def check_config(file: Path, /, *, host_list: Path | None = None) -> None:
    """Check a configuration document and report all its problems at once.

    Parameters
    ----------
    file
        The configuration document.
    host_list
        A host list to check as well.
    """
    problems = []
    try:
        model = read_document(file)
    except ConfigurationError as error:
        problems += error.problems
    if host_list is not None:
        try:
            with problems_prefixed_by(host_list):
                load_host_list(read_file(host_list))
        except ConfigurationError as error:
            problems += error.problems
    if problems:
        raise ConfigurationError(problems)
    print(
        f"{file}: valid, version {model.version}, {len(model.customers)} customers, "
        f"{len(model.services)} services, {len(model.data_centres)} data centres"
    )


@app.command
def check_fleet_config(
    file: Path,
    /,
    *,
    in_force: Path | None = None,
    targets: Path | None = None,
    as_json: Annotated[bool, Parameter(name="--json", negative="")] = False,
) -> int:
    """Check a configuration of the users' platform before it is sent.

    Exit status 0 if there are no findings, 1 if there are, 2 if a file can't be read.

    Parameters
    ----------
    file
        The configuration.
    in_force
        The configuration that routers use. What differs from it is shown.
    targets
        Targets in service: a JSON object with the entry of each by its identifier.
    as_json
        Write a JSON object.
    """
    # The decoders of the routers import circuits, which the other commands of this tool do not need.
    from limpetusher_operator.fleet_configuration import check_file

    check = check_file(file, in_force=in_force, targets=targets)
    print(check.format_json() if as_json else check.format_text())
    return check.exit_status


@app.command
def questionnaire(
    answers: Path | None = None,
    /,
    *,
    template: bool = False,
    into: Path | None = None,
    output: Path | None = None,
    new_key: bool = False,
) -> None:
    """Derive a customer's configuration from a team's answers about its work and patience.

    The result is written to the output. The reasons for its values and new API keys are written to standard
    error.

    Parameters
    ----------
    answers
        File with the answers, in JSON.
    template
        Write example answers to be used as a template.
    into
        Document to merge the customer into. The output is then the next version of this document.
    output
        File to write, by default standard output.
    new_key
        Generate another API key for a customer that already has one.
    """
    if template:
        write_template(output)
        return
    if answers is None:
        raise OperatorError("ANSWERS: no file given; expected a file with answers or --template")
    team_answers = read_answers(answers)
    document = read_document(into) if into else None
    ids_with_keys = customer_ids_with_keys(document)
    keys = (
        [generate_api_key(team_answers.customer_id)]
        if new_key or team_answers.customer_id not in ids_with_keys
        else []
    )
    derived = derive_customer(team_answers, [key.entry for key in keys])
    if document is None:
        write_output(output, dump_document(derived.customer))
    else:
        merged = revalidate_model(merge_customer(document, derived.customer))
        write_document(output, merged)
        show_differences(document, merged, to_stderr=True)
    show_derived_values(derived, keys)


@app.command
def drain(
    data_centre: str, /, *, config: Path, output: Path | None = None, allow_none_left: bool = False
) -> None:
    """Write the next version of a document with a data centre taken out of service.

    Parameters
    ----------
    data_centre
        Name of the data centre.
    config
        The current document.
    output
        File to write, by default standard output.
    allow_none_left
        Allow the last data centre in service to be taken out.
    """
    model = read_document(config)
    changed = with_data_centre_state(
        model, data_centre, DataCentreState.OUT_OF_SERVICE, allow_none_left=allow_none_left
    )
    write_document(output, changed)
    show_differences(model, changed, to_stderr=True)


@app.command(name="return")
def return_(data_centre: str, /, *, config: Path, output: Path | None = None) -> None:
    """Write the next version of a document with a data centre returned to service.

    Parameters
    ----------
    data_centre
        Name of the data centre.
    config
        The current document.
    output
        File to write, by default standard output.
    """
    model = read_document(config)
    changed = with_data_centre_state(model, data_centre, DataCentreState.IN_SERVICE)
    write_document(output, changed)
    show_differences(model, changed, to_stderr=True)


@app.command
def diff(old: Path, new: Path | None = None, /, *, router: str | None = None) -> None:
    """Show the differences between two documents, or between the document that a router uses and a given one.

    Parameters
    ----------
    old
        The older document. With --router, the document to compare with the one that the router uses.
    new
        The newer document.
    router
        Admin address of a router, IP:PORT.
    """
    if (new is None) == (router is None):
        raise OperatorError("diff: expected two documents, or one document and --router")
    if router is None:
        show_differences(read_document(old), read_document(new))
        return
    try:
        router_model = parse_document(admin.fetch_configuration(router))
    except ConfigurationError as error:
        raise OperatorError(f"router {router}: invalid configuration document: {error}") from None
    show_differences(router_model, read_document(old))


@app.command
def explain(request_id: str, /, *, router: str) -> None:
    """Show the decisions of a router about a request and their reasons.

    Parameters
    ----------
    request_id
        Identifier from the X-Request-Id header or the error of the answer.
    router
        Admin address of the router that received the request, IP:PORT.
    """
    body = admin.fetch_explanation(router, request_id)
    print(report.format_explanation(report.parse_json_object(body, f"router {router}")))


@app.command
def status(*, router: RouterAddresses, as_json: bool = False) -> None:
    """Show the state of routers.

    Parameters
    ----------
    router
        Admin addresses, IP:PORT; may be given several times.
    as_json
        Write one JSON object per line.
    """
    failures = []
    for address in router:
        try:
            state = report.parse_json_object(admin.fetch_body(address, "/status"), f"router {address}")
        except OperatorError as error:
            failures.append(str(error))
            continue
        line = json.dumps({"address": address} | state) if as_json else report.format_status(address, state)
        print(line)
    if failures:
        raise OperatorError(*failures)


@app.command
def fairness(*logs: Path, worst: int = 10) -> None:
    """Show how fairly customers were served, from the log lines of all routers.

    Parameters
    ----------
    logs
        Files with log lines of routers, by default standard input.
    worst
        Number of windows to list, those with the lowest ratios.
    """
    lines = (line for path in logs for line in read_lines(path)) if logs else sys.stdin
    print(format_report(FairnessReport(lines), worst))


def write_template(output: Path | None) -> None:
    """Write example answers."""
    write_output(output, example_answers().model_dump_json(indent=2).encode() + b"\n")


def read_answers(path: Path) -> TeamAnswers:
    """Read and validate a file with answers."""
    with problems_prefixed_by(path):
        return load_answers(read_file(path))


def customer_ids_with_keys(document: ConfigurationModel | None) -> set[str]:
    """Return the identifiers of the customers that have an API key."""
    customers = document.customers if document else []
    return {customer.customer_id for customer in customers if customer.api_keys}


def show_differences(old: ConfigurationModel, new: ConfigurationModel, *, to_stderr: bool = False) -> None:
    """Write the differences between two documents to standard output or standard error."""
    stream = sys.stderr if to_stderr else sys.stdout
    lines = [str(difference) for difference in compare_documents(old, new)]
    print("\n".join(lines) if lines else "no differences", file=stream)


def show_derived_values(derived: DerivedCustomer, keys: list[NewApiKey]) -> None:
    """Write the derived values with their reasons, and the new API keys, to standard error."""
    for value in derived.derived_values:
        print(value, file=sys.stderr)
    for key in keys:
        print(f"new API key, not shown again: {key.token}", file=sys.stderr)


def main(arguments: list[str] | None = None) -> int:
    """Run the command line and return the exit status."""
    try:
        status = app(arguments, exit_on_error=False, print_error=False, result_action="return_value")
    except (ConfigurationError, OperatorError) as error:
        return report_problems(error.problems)
    except CycloptsError as error:
        return report_problems([" ".join(str(error).split())])
    except BrokenPipeError:
        return report_problems(["standard output: closed by its reader"])
    return status if isinstance(status, int) else 0


def report_problems(problems: list[str]) -> int:
    """Write each problem as a line to standard error and return the exit status for errors."""
    for problem in problems:
        print(f"limpetusher: {problem}", file=sys.stderr)
    return ERROR_EXIT_STATUS
