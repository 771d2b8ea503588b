"""The decisions of the gateway: pure, without I/O and without a clock. `policy.Policy` is the entry."""
