"""The former import path of `martenstep.policy.messages`, kept for programs that embed the gateway."""

from martenstep.policy.messages import *  # noqa: F403
