"""Matches requests with the configured operations and customers."""

from ..generated.messages import Operation, Request, Service, SizeClass
from ..protocol.packets import SizeCode

OTHER_LABEL = 'other'
_SIZE_CLASSES = {
    SizeCode.UNKNOWN: SizeClass.unknown,
    SizeCode.SHORT: SizeClass.short,
    SizeCode.LONG: SizeClass.long,
}


class ServiceView:
    """Lookups in the configuration of the agent's service."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self._operations = sorted(
            service.operations,
            key=lambda operation: len(operation.path_prefix),
            reverse=True,
        )
        self._names_by_customer = {
            customer.customer_id: customer.name
            for customer in service.customers
        }

    @property
    def shares_by_customer(self) -> dict[int, float]:
        """Shares of the customers in the fair queue, by customer id."""
        return {
            customer.customer_id: customer.share
            for customer in self.service.customers
        }

    def match(self, request: Request) -> Operation | None:
        """Return the operation with the longest matching path prefix.

        None if no configured operation matches.
        """
        for operation in self._operations:
            if operation.method == request.method and (
                request.path.startswith(operation.path_prefix)
            ):
                return operation
        return None

    def operation_name(self, request: Request) -> str:
        """Return the name of the operation.

        Without a matching configured operation, this is the name that
        the caller has sent.
        """
        operation = self.match(request)
        return operation.name if operation else request.operation

    def operation_label(self, request: Request) -> str:
        """Return the operation as a metric label.

        Operations that are not configured share one label, which bounds
        the cardinality.
        """
        operation = self.match(request)
        return operation.name if operation else OTHER_LABEL

    def customer_label(self, customer_id: int) -> str:
        """Return the customer as a metric label.

        Customers that are not configured share one label, which bounds
        the cardinality.
        """
        return self._names_by_customer.get(customer_id, OTHER_LABEL)

    def customer_header(self, request: Request) -> str:
        """Return the value of the header X-Customer for the back end."""
        customer_id = request.customer_id
        return self._names_by_customer.get(customer_id, str(customer_id))

    def is_idempotent(self, request: Request) -> bool:
        """Return whether the request may run more than once.

        The caller must have marked it as idempotent, and the configured
        operation, if one matches, must be idempotent too.
        """
        operation = self.match(request)
        return request.idempotent and (
            operation is None or operation.idempotent
        )

    def size_class(self, request: Request, size_code: SizeCode) -> SizeClass:
        """Return the configured size class, else that of the datagram."""
        operation = self.match(request)
        if operation and operation.size_class != SizeClass.unknown:
            return operation.size_class
        return _SIZE_CLASSES[size_code]
