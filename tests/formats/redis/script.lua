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
