"""Changes of a document that take a data centre out of service or return it to service."""

from limpetusher.configuration.compiled import DataCentreState
from limpetusher.configuration.document import ConfigurationModel, revalidate_model
from limpetusher_operator.errors import OperatorError


def with_data_centre_state(
    model: ConfigurationModel, data_centre: str, state: DataCentreState, *, allow_none_left: bool = False
) -> ConfigurationModel:
    """Return the next version of a document with a changed state of a data centre.

    Raises
    ------
    OperatorError
        If the data centre is unknown, already has the state, or is the last one in service and
        `allow_none_left` is not set.
    """
    states = {entry.name: entry.state for entry in model.data_centres}
    if data_centre not in states:
        known = ", ".join(sorted(states)) or "none"
        raise OperatorError(f"data centre {data_centre!r}: not in the document; expected one of {known}")
    if states[data_centre] is state:
        raise OperatorError(
            f"data centre {data_centre!r}: its state is already {state.value!r} in version {model.version}"
        )
    states[data_centre] = state
    if DataCentreState.IN_SERVICE not in states.values() and not allow_none_left:
        raise OperatorError(
            f"data centre {data_centre!r}: it is the last one in service; "
            "use --allow-none-left to take it out of service"
        )
    data_centres = [entry.model_copy(update={"state": states[entry.name]}) for entry in model.data_centres]
    return revalidate_model(
        model.model_copy(update={"data_centres": data_centres, "version": model.version + 1})
    )
