"""Decodes the pages that a node serves to operators; nodes themselves have no use for it."""

import cattrs
import orjson

from bergamotridge import errors, events
from bergamotridge.nodes import confirmation
from bergamotridge.operators import route_preview, status
from bergamotridge.util import hlc

_converter = cattrs.Converter()
_converter.register_structure_hook(hlc.Stamp, lambda text, _: hlc.parse(text))
_converter.register_structure_hook_func(lambda cls: cls is object, lambda value, _: value)


def decode_status(body: bytes) -> status.Status:
    """Returns the status that `status.encode` serialized.

    Raises:
        OperatorPortError: The body is anything else.
    """
    try:
        return cattrs.structure(orjson.loads(body), status.Status)
    except (ValueError, TypeError, cattrs.BaseValidationError) as error:
        raise errors.OperatorPortError("the status page is not in the expected form") from error


def decode_preview(body: bytes) -> route_preview.RoutePreview:
    """Returns the preview that `route_preview.encode` serialized.

    Raises:
        OperatorPortError: The body is anything else.
    """
    try:
        return cattrs.structure(orjson.loads(body), route_preview.RoutePreview)
    except (ValueError, TypeError, cattrs.BaseValidationError) as error:
        raise errors.OperatorPortError("the preview is not in the expected form") from error


def decode_knowledge(body: bytes) -> confirmation.Knowledge:
    """Returns who knows of a change, as a node answers an operator who made it.

    Raises:
        OperatorPortError: The body is anything else.
    """
    try:
        fields = orjson.loads(body)
        if not isinstance(fields, dict):
            raise TypeError("not an object")
        return cattrs.structure(fields, confirmation.Knowledge)
    except (ValueError, TypeError, cattrs.BaseValidationError) as error:
        raise errors.OperatorPortError("the answer is not in the expected form") from error


def decode_events(body: bytes) -> list[events.Event]:
    """Returns the events that `event_lines.encode` serialized.

    Raises:
        OperatorPortError: The body is anything else.
    """
    try:
        return [_converter.structure(_load(line), events.Event) for line in body.splitlines()]
    except (ValueError, TypeError, cattrs.BaseValidationError) as error:
        raise errors.OperatorPortError("the events page is not in the expected form") from error


def _load(line: bytes) -> object:
    """Parses JSON; raises ValueError, or TypeError for so many levels that it cannot be shown."""
    loaded = orjson.loads(line)
    orjson.dumps(loaded)
    return loaded
