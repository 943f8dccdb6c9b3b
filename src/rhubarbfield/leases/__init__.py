"""Time-limited leases between a grantor and its holders.

The two sides never compare their clocks. A holder measures the lease from the
time at which it *sent* its request, the grantor from the later time at which
it *answered*, and each applies the drift margin in the direction that is safe
for the other.
"""

from rhubarbfield.leases.held import HeldLease
from rhubarbfield.leases.table import LeaseLapsed, LeaseTable, UnknownHolder
from rhubarbfield.leases.terms import Lease, LeaseTerms

__all__ = [
    "HeldLease",
    "Lease",
    "LeaseLapsed",
    "LeaseTable",
    "LeaseTerms",
    "UnknownHolder",
]
