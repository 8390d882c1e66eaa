"""martenstep: an API gateway that holds each customer of a shared back end to its plan."""

from martenstep.policy.gateway import Gateway

__all__ = ["Gateway"]
