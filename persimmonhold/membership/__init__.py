"""Which VMs are live, from heartbeats and leases."""
