"""Borrowing of a connection together with a permit to use it."""

__all__ = ["borrow_admitted"]


async def borrow_admitted(pool, gate, times, patient, workload, kind=""):
    """Wait for a permit, then for a connection of the customer.

    Parameters
    ----------
    pool : TargetPool
        Pool of the target.
    gate : TargetGate
        Admission queue of the target.
    times : tuple of float
        Loop seconds by which to return, and when the statement's answer is
        due.
    patient : bool
        Whether to wait while the target's connection limit is met.
    workload : Workload
        Customer and urgency of the statement.
    kind : str
        Kind of statement.

    Returns
    -------
    pooled : PooledConnection
        The connection.
    permit : Permit
        The permit.

    Raises
    ------
    NotRunError
        If there is no permit or connection in time.
    """
    until, deadline = times
    permit = await gate.enter(workload, deadline, kind=kind, until=until)
    if not pool.can_lend(workload.customer):
        # All connections are lent. A transaction that holds one needs a
        # permit to end, so none may be kept while waiting for it.
        permit.release(completed=False)
        return await _borrow_first(pool, gate, times, patient, workload, kind)
    try:
        pooled = await pool.borrow(until, patient, workload, True)
    except BaseException:
        permit.release(completed=False)
        raise
    return pooled, permit


async def _borrow_first(pool, gate, times, patient, workload, kind):
    """Wait for a connection, then for a permit."""
    until, deadline = times
    pooled = await pool.borrow(until, patient, workload, True)
    try:
        permit = await gate.enter(
            workload, deadline, continuing=True, kind=kind, until=until
        )
    except BaseException:
        pool.return_connection(pooled)
        raise
    return pooled, permit
