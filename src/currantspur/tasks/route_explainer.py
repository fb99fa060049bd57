"""Ask the tasks in turn where a request would go now."""

from collections.abc import Callable

from currantspur.messages import (
    IncomingRequest,
    OutgoingRequest,
    RequestContext,
)
from currantspur.messages.route_explanations import (
    AdmissionExplanation,
    AdmissionQuery,
    PlacementQuery,
    RouteExplanation,
)
from currantspur.tasks.forwarding_state import ForwardingState
from currantspur.tasks.mailbox import Mailbox


class RouteExplainer:
    """Follow the way of a request through the tasks, without sending it."""

    __slots__ = ('admission', 'dispatcher', 'get_end')

    def __init__(
        self,
        *,
        admission: Mailbox,
        dispatcher: Mailbox,
        get_end: Callable[[], float],
    ) -> None:
        """Take the mailboxes, and when the instance stops."""
        self.admission = admission
        self.dispatcher = dispatcher
        self.get_end = get_end

    async def explain(
        self, request: IncomingRequest, team: str | None
    ) -> RouteExplanation:
        """Return where a request of a team would go.

        Raise MailboxFullError or TaskFailedError if a task cannot answer.
        """
        admission: AdmissionExplanation = await self.admission.ask(
            AdmissionQuery(request=request, team=team)
        )
        explanation = RouteExplanation(admission=admission)
        if admission.context.refusal is None:
            explanation.placement = await self.dispatcher.ask(
                self._make_query(admission.context)
            )
        return explanation

    def _make_query(self, context: RequestContext) -> PlacementQuery:
        request = context.request
        state = ForwardingState(
            context=context,
            outgoing_request=OutgoingRequest(
                request_id=request.request_id,
                method=request.method,
                path=request.path,
                headers=(),
            ),
            span=None,
        )
        state.ends_at = self.get_end()
        return PlacementQuery(request=state.make_placement_request())
