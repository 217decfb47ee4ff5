"""Status of customers and of the queues of targets at one instance."""

import collections

from balsamhinge.controllers import customerusage

__all__ = [
    "MAX_UNUSED_CUSTOMERS",
    "configuration_lease",
    "customer_rows",
    "open_connections",
    "target_rows",
]

# Up to this number of customers, those that have not used the instance are
# listed too. With 10,000 they would make each page 2 MB.
MAX_UNUSED_CUSTOMERS = 200


def customer_rows(fleet):
    """Return one row for each customer, sorted by name.

    Counts are those since the start of the instance. The customer "" stands
    for callers without a valid key and for public routes.
    """
    customers = fleet.directory.table.customers
    totals = fleet.customer_usage.totals
    connections = open_connections(fleet)
    names = {name for name in totals if totals[name]} | set(connections)
    if len(customers) <= MAX_UNUSED_CUSTOMERS:
        names |= customers.keys()
    if not customers:
        return []
    return [
        _customer_row(name, customers.get(name), totals.get(name), connections)
        for name in sorted(names)
    ]


def _customer_row(name, customer, counts, connections):
    counts = counts or collections.Counter()
    waits = counts[customerusage.WAITS]
    wait_s = counts[customerusage.WAIT_S]
    rate_per_s = customer.rate_per_s if customer else float("inf")
    return {
        "customer": name,
        "rate_per_s": rate_per_s if rate_per_s < float("inf") else None,
        "burst": customer.burst if customer else None,
        "priority": customer.priority if customer else None,
        "admitted": counts[customerusage.ADMITTED],
        "refused": {
            reason.value: counts[reason.value]
            for reason in customerusage.Reason
        },
        "connections": connections.get(name, 0),
        "waits": waits,
        "wait_s": wait_s,
        "mean_wait_s": wait_s / waits if waits else None,
    }


def open_connections(fleet):
    """Return the open connections of this instance by customer."""
    counts = collections.Counter()
    for pool in fleet.target_pools.pools():
        counts.update(pool.open_counts)
    return counts


def target_rows(fleet):
    """Return one row for each target that this instance has a pool for.

    Queue, permits and concurrency limit are those of this instance as the
    target's host, see `TargetPoolsController.describe`.
    """
    described = fleet.target_pools.describe()["targets"]
    rows = []
    for pool in fleet.target_pools.pools():
        name = pool.target.name
        state = described[name]
        queue = state["queue"] or {}
        rows.append(
            {
                "target": name,
                "group": pool.target.group,
                "queued": {
                    str(priority): count
                    for priority, count in queue.get(
                        "waiting_by_priority", {}
                    ).items()
                },
                "permits": queue.get("running"),
                "concurrency_limit": queue.get("limit"),
                "refused": queue.get("refused_total", 0),
                "predicted_waits_s": queue.get("predicted_waits_s", []),
                "mean_response_s": fleet.health.of(name).mean_response_s,
                "connections": pool.open,
                # Connections for monitoring belong to no customer.
                "connected_customers": len(pool.open_counts.keys() - {""}),
            }
        )
    return sorted(rows, key=lambda row: (row["group"], row["target"]))


def configuration_lease(fleet):
    """Return age in seconds and validity of the configuration lease.

    Both are None where the settings ask for no strict revocation; the age
    is None as well before the first proof.
    """
    proofs = fleet.customers.proofs
    if proofs is None:
        return {"age_s": None, "valid": None}
    age_s = proofs.age_s()
    return {
        "age_s": age_s if age_s < float("inf") else None,
        "valid": proofs.is_valid(),
    }
