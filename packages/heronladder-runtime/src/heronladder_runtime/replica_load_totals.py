"""How far the sums of load at replicas go that control tells routers."""

#: Replicas told at once: 20 bytes each, under a fifth of 2 KB/s at three frames a second
#: for the replicas of one router's subset.
MAX_REPORTED_REPLICAS = 64
