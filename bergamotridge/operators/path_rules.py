"""Rules for paths with variable segments, such as /a/<id>, by werkzeug's routing.

Import this module only where such a path is at hand, as all of werkzeug comes with it.
"""

import threading
from collections.abc import Iterable

import attrs
from werkzeug import exceptions, routing


class NoRuleError(LookupError):
    """No rule matches the path."""


class WrongMethodError(LookupError):
    """A rule matches the path, but only with other methods."""


@attrs.frozen
class PathRule:
    """A method and a path, and the name that `PathRules.match` returns for them."""

    method: str
    path: str
    name: str


def check_path(path: str) -> None:
    """Raises ValueError if a path is not valid in a rule."""
    try:
        routing.Map([routing.Rule(path)])
    except (LookupError, SyntaxError) as error:
        raise ValueError(str(error)) from error


class PathRules:
    """Matches calls against rules; thread-safe."""

    def __init__(self, rules: Iterable[PathRule]) -> None:
        """Compiles the rules."""
        compiled = [
            routing.Rule(rule.path, methods=[rule.method], endpoint=rule.name) for rule in rules
        ]
        self._adapter = routing.Map(compiled, redirect_defaults=False).bind("fleet")
        self._lock = threading.Lock()

    def match(self, method: str, path: str) -> str:
        """Returns the name of the rule that matches.

        Raises:
            NoRuleError: No rule matches the path.
            WrongMethodError: A rule does, but not with this method.
        """
        try:
            with self._lock:
                name, _ = self._adapter.match(path, method)
        except exceptions.MethodNotAllowed as error:
            raise WrongMethodError(path) from error
        except (exceptions.HTTPException, routing.RequestRedirect) as error:
            raise NoRuleError(path) from error
        return name
