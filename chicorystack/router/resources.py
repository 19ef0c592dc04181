"""A router's HTTP interface for callers."""

from twisted.web import resource, server

from chicorystack.budget.keeper.client import BudgetClient
from chicorystack.config.store import ConfigStore
from chicorystack.router.auth import CustomerDirectory
from chicorystack.router.dispatcher import Dispatcher
from chicorystack.util import shard_of
from chicorystack.web.server import (
    NotFound,
    ResourceTree,
    get_header,
    refuse_method,
    run_handler,
    send_json,
)


class ServicesResource(resource.Resource):
    """`POST /v1/services/<service>/<operation>`."""

    isLeaf = True

    def __init__(self, dispatcher: Dispatcher):
        super().__init__()
        self._dispatcher = dispatcher

    def render_POST(self, request: server.Request) -> int:
        """Serves one call."""
        if len(request.postpath) != 2:
            return NotFound().render(request)
        service, operation = (
            part.decode("utf-8", "replace") for part in request.postpath
        )
        return run_handler(
            request, self._dispatcher.serve(request, service, operation)
        )

    def render(self, request: server.Request) -> int:
        """Refuses other methods."""
        if request.method != b"POST":
            return refuse_method(request, "POST")
        return super().render(request)


class BudgetsResource(resource.Resource):
    """`GET /v1/budgets`: the caller's own budgets."""

    isLeaf = True

    def __init__(
        self,
        store: ConfigStore,
        customers: CustomerDirectory,
        budgets: BudgetClient,
    ):
        super().__init__()
        self._store = store
        self._customers = customers
        self._budgets = budgets

    def render(self, request: server.Request) -> int:
        """Sends the caller's budgets."""
        if request.method != b"GET":
            return refuse_method(request, "GET")
        return run_handler(request, self._send_budgets(request))

    async def _send_budgets(self, request: server.Request) -> None:
        shard_count = self._store.config.shard_count
        customer = await self._customers.authenticate(
            get_header(request, "authorization"), shard_count
        )
        shard = shard_of(customer, shard_count)
        send_json(request, 200, await self._budgets.budgets(shard, customer))


def caller_tree(
    dispatcher: Dispatcher,
    store: ConfigStore,
    customers: CustomerDirectory,
    budgets: BudgetClient,
) -> ResourceTree:
    """Returns the tree of the resources for callers."""
    root = ResourceTree()
    root.put("v1/services", ServicesResource(dispatcher))
    root.put("v1/budgets", BudgetsResource(store, customers, budgets))
    return root
