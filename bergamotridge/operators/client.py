"""Client of the operators' port of a node."""

import urllib.parse

import attrs
import orjson

from bergamotridge import errors, events
from bergamotridge.nodes import confirmation
from bergamotridge.operators import decoding, pages, route_preview, signature, status
from bergamotridge.util import http_client, message

MAX_ANSWER_BYTES = 64 * 1024 * 1024
_STATUS_OK = 200


class OperatorClient:
    """Sends requests to the operators' port of one node.

    Every method raises OperatorPortError if the node does not answer or refuses the request.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        """Prepares a client.

        Args:
            address: IP:PORT of the operators' port.
            timeout_s: Time limit of one request in seconds.
        """
        self._address = address
        self._timeout_s = timeout_s

    def status(self) -> status.Status:
        """Returns the status of the node."""
        return decoding.decode_status(self._request(b"GET", pages.STATUS_PATH))

    def preview(self, query: route_preview.Query) -> route_preview.RoutePreview:
        """Returns where the node would send a request now."""
        target = f"{pages.PREVIEW_PATH}?{urllib.parse.urlencode(attrs.asdict(query))}"
        return decoding.decode_preview(self._request(b"GET", target))

    def events(self, request_id: str = "", since: str = "") -> list[events.Event]:
        """Returns the events that the node stores.

        Args:
            request_id: Returns only events of this request, if not "".
            since: Returns only events after this stamp or wall time in milliseconds, if not "".
        """
        query = urllib.parse.urlencode({"request_id": request_id, "since": since})
        return decoding.decode_events(self._request(b"GET", f"{pages.EVENTS_PATH}?{query}"))

    def withdraw(self, key_id: str, fleet_secret: str) -> confirmation.Knowledge:
        """Withdraws a key through this node; the request is signed with the fleet secret.

        Returns:
            Who knows of the withdrawal. A node of an earlier release does not tell of others.
        """
        body = orjson.dumps({"key_id": key_id})
        signed = signature.sign(fleet_secret, pages.WITHDRAW_PATH, body)
        header = (signature.HEADER.lower().encode(), signed.encode())
        timeout_s = self._timeout_s + confirmation.WITHIN_S
        answer = self._request(b"POST", pages.WITHDRAW_PATH, [header], body, timeout_s)
        knowledge = decoding.decode_knowledge(answer)
        if knowledge.known_by:
            return knowledge
        return confirmation.Knowledge((confirmation.Place(self._address, ""),))

    def _request(
        self,
        method: bytes,
        target: str,
        headers: list[message.Header] | None = None,
        body: bytes = b"",
        timeout_s: float | None = None,
    ) -> bytes:
        request = message.Request(method, target.encode(), headers or [], body)
        try:
            response = http_client.send_once(
                self._address, request, timeout_s or self._timeout_s, MAX_ANSWER_BYTES
            )
        except http_client.TransferError as error:
            raise errors.OperatorPortError(f"node at '{self._address}': {error}") from error
        if response.status != _STATUS_OK:
            reason = response.body.decode("utf-8", "replace").strip()
            raise errors.OperatorPortError(
                f"node at '{self._address}' answered {response.status}: {reason}"
            )
        return response.body
