"""Fleet-wide quota: token buckets, the share ledger and permits."""

from chervilgw.quota.bucket import SHARE_UNITS, TokenBucket, make_bucket
from chervilgw.quota.errors import QuotaError
from chervilgw.quota.ledger import Quota, make_quota
from chervilgw.quota.permits import Permits, make_permits
from chervilgw.quota.records import record_from_mapping, record_to_mapping

__all__ = [
    "SHARE_UNITS",
    "Permits",
    "Quota",
    "QuotaError",
    "TokenBucket",
    "make_bucket",
    "make_permits",
    "make_quota",
    "record_from_mapping",
    "record_to_mapping",
]
