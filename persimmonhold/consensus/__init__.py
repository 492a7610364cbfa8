"""Elections, the replicated log, snapshots and replica membership."""
