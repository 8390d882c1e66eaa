"""The one script that the store runs, and what it does, in Lua for Redis and in Python for reference.

A key is a hash: the field `t` holds the total, and each gateway's epoch has a field of its own that holds the version
and the sum of all that it ever added to this key.  A gateway does not add, it states its sum: a statement whose version
is not newer than the one held changes nothing, so that one can be sent any number of times, in any order, and late.
What the field held before the statement is returned: less than the gateway knows to have been there proves a loss.
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
    """Do the same in Python: returns the key's total, the version held before, and whether anything changed.

    Raises ValueError on a field that holds no number, as Redis does.
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
