"""The decisions of a gateway on quotas, endpoints and attempts: pure, with no I/O and no clock."""
