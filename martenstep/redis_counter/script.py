"""The script that sets a gateway's sum for a key: in Lua for Redis, and in Python as a reference.

A key is a hash: the field `t` holds the total, and each gateway's epoch has a field of its own, its register, which
holds the version and the sum of all units that this epoch has added to the key.  A gateway does not send increments, it
states its sum.  A statement whose version is not newer than the one held changes nothing, so that it can be sent any
number of times, in any order and late.  The script returns the version that the field held before: a version older than
one that the gateway knows the store to have held proves a loss.
"""

from __future__ import annotations

import hashlib
from collections.abc import MutableMapping

TOTAL = b"t"
LUA = """\
local own = redis.call('HGET', KEYS[1], ARGV[1])
local found, held = 0, 0
if own then
  local version, sum = string.match(own, '^(%d+) (.+)$')
  found, held = tonumber(version), tonumber(sum)
end
if tonumber(ARGV[2]) > found then
  redis.call('HSET', KEYS[1], ARGV[1], ARGV[2] .. ' ' .. ARGV[3])
  redis.call('HINCRBYFLOAT', KEYS[1], 't', string.format('%.17g', tonumber(ARGV[3]) - held))
  if redis.call('PTTL', KEYS[1]) < 0 then
    redis.call('PEXPIRE', KEYS[1], ARGV[4])
  end
end
return {redis.call('HGET', KEYS[1], 't') or '0', tostring(found)}
"""
DIGEST = hashlib.sha1(LUA.encode()).hexdigest()


def apply_statement(
    fields: MutableMapping[bytes, bytes], gateway_epoch: bytes, version: int, total: float
) -> tuple[float, int, bool]:
    """Apply the script in Python: returns the key's total, the version held before, and whether the register changed.

    Raises ValueError if a field does not hold a number, for which Redis returns an error.
    """
    register = fields.get(gateway_epoch)
    previous_version = 0
    previous_total = 0.0
    if register is not None:
        version_text, total_text = register.split(b" ")
        previous_version = int(version_text)
        previous_total = float(total_text)
    changed = version > previous_version
    if changed:
        fields[gateway_epoch] = b"%d %.17g" % (version, total)
        fields[TOTAL] = b"%.17g" % (float(fields.get(TOTAL, b"0")) + total - previous_total)
    return float(fields.get(TOTAL, b"0")), previous_version, changed
