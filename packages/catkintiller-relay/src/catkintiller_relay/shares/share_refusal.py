"""Record of a refusal by the share of a customer."""

from typing import NamedTuple


class ShareRefusal(NamedTuple):
    """Why a request was refused by the share of its customer.

    :param service: service that lacks capacity.
    :param share: part of the customer's requests that is admitted.
    :param age_s: age of the sums over all nodes; None if the node decided by its own
        arrivals.
    :param retry_after_s: time after which the request may return, in seconds.
    """

    service: str
    share: float
    age_s: float | None
    retry_after_s: float
