"""Limit on the load totals of replicas that control reports to routers."""

#: Replicas in one report, at 20 bytes each: less than a fifth of 2 KB/s at three frames a second,
#: for the replicas in one router's subset.
MAX_REPORTED_REPLICAS = 64
