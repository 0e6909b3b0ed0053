"""Documents that take a data centre out of service or bring it back."""

from limpetusher.configuration.compiled import DataCentreState
from limpetusher.configuration.document import ConfigurationModel, check_model
from limpetusher_operator.errors import OperatorError


def with_state(
    model: ConfigurationModel, data_centre: str, state: DataCentreState, *, allow_none_left: bool = False
) -> ConfigurationModel:
    """Return the next version of a document with a data centre in another state.

    Raises
    ------
    OperatorError
        If the data centre is unknown or in that state already, or would be the last one in service.
    """
    states = {entry.name: entry.state for entry in model.data_centres}
    if data_centre not in states:
        known = ", ".join(sorted(states)) or "none"
        raise OperatorError(f"data centre {data_centre!r}: not in the document; allowed are {known}")
    if states[data_centre] is state:
        raise OperatorError(
            f"data centre {data_centre!r}: its state is {state.value!r} already in version {model.version}"
        )
    states[data_centre] = state
    if DataCentreState.IN_SERVICE not in states.values() and not allow_none_left:
        raise OperatorError(
            f"data centre {data_centre!r}: it is the last one in service; allowed only with --allow-none-left"
        )
    data_centres = [entry.model_copy(update={"state": states[entry.name]}) for entry in model.data_centres]
    return check_model(model.model_copy(update={"data_centres": data_centres, "version": model.version + 1}))
