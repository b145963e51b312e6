-- Adds to a count and tells whose counts these are.
-- KEYS: the count, the epoch. ARGV: amount, life of a new count in ms, the epoch if there is none yet.
-- The epoch lives as long as the data: a server that began with nothing has none, and gets a new one.
local epoch = redis.call('GET', KEYS[2])
if not epoch then
  epoch = ARGV[3]
  redis.call('SET', KEYS[2], epoch)
end
local fresh = redis.call('EXISTS', KEYS[1]) == 0
local total = redis.call('INCRBYFLOAT', KEYS[1], ARGV[1])
if fresh then
  redis.call('PEXPIRE', KEYS[1], ARGV[2])
end
return {total, epoch}
