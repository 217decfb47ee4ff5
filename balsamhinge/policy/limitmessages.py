"""Messages between instances about the rate limits of customers."""

import attrs

__all__ = ["AllowanceReply", "AllowanceRequest"]


@attrs.frozen
class AllowanceRequest:
    """Request for tokens of several customers, to one limit owner.

    Parameters
    ----------
    needed : dict of str to int
        By customer, the operations that wait for a token.
    expected : dict of str to int
        By customer, the further operations that the sender expects before
        the grant ends. Customers without any are left out.
    """

    needed: dict[str, int] = attrs.Factory(dict)
    expected: dict[str, int] = attrs.Factory(dict)


@attrs.frozen
class AllowanceReply:
    """Reply of a limit owner.

    Parameters
    ----------
    granted : dict of str to int
        Tokens by customer. Customers without any are left out.
    retry_after_s : dict of str to float
        For each customer that got fewer tokens than needed, the seconds
        until it is worth asking again.
    not_owned : list of str
        Customers for which the receiver does not grant: by its own list of
        members another instance is the owner, or its knowledge of the
        members is too old.
    """

    granted: dict[str, int] = attrs.Factory(dict)
    retry_after_s: dict[str, float] = attrs.Factory(dict)
    not_owned: list[str] = attrs.Factory(list)
