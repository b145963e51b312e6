package willowdoor.steward;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;

/**
 * Clock and timers for MicroRaft that run faster than real time by one common factor. The library takes its
 * heartbeat period in whole seconds, at least 1 s, which would leave the group without a leader for too long.
 */
final class ScaledClockExecutor extends Clock implements RaftNodeExecutor {

  private final StewardEnvironment environment;
  private final double factor;

  ScaledClockExecutor(StewardEnvironment environment, double factor) {
    this.environment = environment;
    this.factor = factor;
  }

  @Override
  public void execute(Runnable task) {
    environment.schedule(0, task);
  }

  @Override
  public void submit(Runnable task) {
    environment.schedule(0, task);
  }

  @Override
  public void schedule(Runnable task, long delay, TimeUnit unit) {
    environment.schedule(unit.toMicros(delay) / 1e3 / factor, task);
  }

  @Override
  public long millis() {
    return (long) (environment.now() * factor);
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(millis());
  }

  @Override
  public ZoneId getZone() {
    return ZoneOffset.UTC;
  }

  @Override
  public Clock withZone(ZoneId zone) {
    return this;
  }
}
