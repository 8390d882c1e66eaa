"""The former import path of the decisions' messages, kept for those who embed the gateway."""

from martenstep.policy.messages import *  # noqa: F403
