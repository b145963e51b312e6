package willowdoor.testkit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Injects faults by a schedule that is drawn from a seed: what fails, when, and for how long. A schedule is a
 * plain list, so that a test can write its own and a run can print the one it drew.
 */
public final class FaultInjector implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(FaultInjector.class.getName());

  /** What fails. The target is the number of a door, backend or authoriser; the other kinds ignore it. */
  public enum FaultKind {
    KILL_DOOR, STOP_DOOR, END_DOOR,
    KILL_BACKEND, DRAIN_BACKEND, REFUSE_BACKEND, ERRORS_BACKEND, RESETS_BACKEND, STALLS_BACKEND,
        SPOILS_BACKEND,
    SLOW_BACKEND, LOSE_ZONE_B,
    SLOW_COUNTER, HANG_COUNTER, LOSE_COUNTER, HANG_DISCOVERY,
    STALLS_AUTHORISER, DENIES_AUTHORISER, RESETS_AUTHORISER, SPOILS_AUTHORISER, LATE_AUTHORISER,
    GOES_AWAY_AUTHORISER, KILL_AUTHORISER
  }

  /** One fault; it is undone after it has lasted {@code lastsMs}. */
  public record Fault(double atMs, FaultKind what, int target, double lastsMs) { }

  private static final double SLOW_COUNTER_MS = 30;
  private static final long DISCOVERY_DELAY_MS = 1_500;
  /** Longer than any door waits for an authoriser. */
  private static final long LATE_AUTHORISER_MS = 2_500;

  private final TestEnvironment environment;
  private final List<? extends Door> doors;
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, r -> {
    Thread t = new Thread(r, "faults");
    t.setDaemon(true);
    return t;
  });
  private int startedFaults;

  public FaultInjector(TestEnvironment environment, List<? extends Door> doors) {
    this.environment = environment;
    this.doors = doors;
  }

  /**
   * Draws kills of different doors within a time span, each door being down for a time between two bounds.
   */
  public static List<Fault> kills(long seed, int doors, int kills, double fromMs, double withinMs,
      double minDownMs, double maxDownMs) {
    Random random = new Random(seed);
    List<Integer> all = new ArrayList<>();
    for (int i = 0; i < doors; i++) {
      all.add(i);
    }
    java.util.Collections.shuffle(all, random);
    List<Fault> faults = new ArrayList<>();
    for (int door : all.subList(0, kills)) {
      faults.add(new Fault(fromMs + random.nextDouble() * withinMs, FaultKind.KILL_DOOR, door,
          minDownMs + random.nextDouble() * (maxDownMs - minDownMs)));
    }
    faults.sort(Comparator.comparingDouble(Fault::atMs));
    return faults;
  }

  /** Draws faults of the given kinds. */
  public static List<Fault> draw(long seed, int faults, List<FaultKind> kinds, int targets, double fromMs,
      double toMs,
      double minMs, double maxMs) {
    Random random = new Random(seed);
    List<Fault> drawn = new ArrayList<>();
    for (int i = 0; i < faults; i++) {
      drawn.add(new Fault(fromMs + random.nextDouble() * (toMs - fromMs),
          kinds.get(random.nextInt(kinds.size())),
          random.nextInt(targets), minMs + random.nextDouble() * (maxMs - minMs)));
    }
    drawn.sort(Comparator.comparingDouble(Fault::atMs));
    return drawn;
  }

  /** Schedules the faults at their times, counted from now. */
  public void inject(List<Fault> schedule) {
    for (Fault f : schedule) {
      timer.schedule(() -> applySafely(f, true), (long) f.atMs(), TimeUnit.MILLISECONDS);
      timer.schedule(() -> applySafely(f, false), (long) (f.atMs() + f.lastsMs()), TimeUnit.MILLISECONDS);
    }
  }

  /** Number of faults that have started. */
  public synchronized int startedFaults() {
    return startedFaults;
  }

  private void applySafely(Fault fault, boolean active) {
    try {
      if (active) {
        synchronized (this) {
          startedFaults++;
        }
      }
      apply(fault, active);
    } catch (RuntimeException e) {
      LOG.log(Level.WARNING, "could not start or undo fault " + fault, e);
    }
  }

  private void apply(Fault fault, boolean active) {
    switch (fault.what()) {
      case KILL_DOOR -> {
        if (active) {
          doors.get(fault.target()).kill();
        } else {
          doors.get(fault.target()).start();
        }
      }
      case END_DOOR -> {
        if (active) {
          doors.get(fault.target()).terminate();
        } else {
          doors.get(fault.target()).start();
        }
      }
      case STOP_DOOR -> ((DoorProcess) doors.get(fault.target())).setSuspended(active);
      case SLOW_COUNTER -> environment.counter().delay(active ? SLOW_COUNTER_MS : 1);
      case HANG_COUNTER -> environment.counter().hang(active);
      case LOSE_COUNTER -> {
        if (active) {
          environment.counter().stop();
        } else {
          environment.counter().restartEmpty();
        }
      }
      case HANG_DISCOVERY -> environment.discovery().setHanging(active);
      case LOSE_ZONE_B -> {
        if (active) {
          environment.backendPool().killZone("b", DISCOVERY_DELAY_MS);
        } else {
          environment.backendPool().restartZone("b", DISCOVERY_DELAY_MS);
        }
      }
      case STALLS_AUTHORISER, DENIES_AUTHORISER, RESETS_AUTHORISER, SPOILS_AUTHORISER, LATE_AUTHORISER,
          GOES_AWAY_AUTHORISER, KILL_AUTHORISER -> applyToAuthoriser(fault.what(),
              environment.authorisers().get(fault.target()),
              active);
      default -> applyToBackend(fault.what(), environment.backendPool().backend(fault.target()), active);
    }
  }

  private static void applyToAuthoriser(FaultKind kind, StandInAuthoriser authoriser, boolean active) {
    if (kind == FaultKind.KILL_AUTHORISER) {
      if (active) {
        authoriser.kill();
      } else {
        authoriser.restart();
      }
      return;
    }
    authoriser.setDelay(active && kind == FaultKind.LATE_AUTHORISER ? LATE_AUTHORISER_MS : 0);
    authoriser.setBehaviour(!active ? StandInAuthoriser.Behaviour.ALLOWS : switch (kind) {
      case STALLS_AUTHORISER -> StandInAuthoriser.Behaviour.STALLS;
      case DENIES_AUTHORISER -> StandInAuthoriser.Behaviour.DENIES;
      case RESETS_AUTHORISER -> StandInAuthoriser.Behaviour.RESETS;
      case SPOILS_AUTHORISER -> StandInAuthoriser.Behaviour.SPOILS;
      case GOES_AWAY_AUTHORISER -> StandInAuthoriser.Behaviour.GOES_AWAY;
      default -> StandInAuthoriser.Behaviour.LATE;
    });
  }

  private void applyToBackend(FaultKind kind, StandInBackend backend, boolean active) {
    switch (kind) {
      case KILL_BACKEND -> {
        if (active && backend.isAlive()) {
          environment.backendPool().kill(backend, DISCOVERY_DELAY_MS);
        } else if (!active && !backend.isAlive()) {
          environment.backendPool().restart(backend, DISCOVERY_DELAY_MS);
        }
      }
      case DRAIN_BACKEND -> {
        if (active) {
          environment.backendPool().drain(backend);
        } else {
          environment.backendPool().undrain(backend);
        }
      }
      case REFUSE_BACKEND -> backend.refuseConnections(active);
      case ERRORS_BACKEND -> backend.setBehaviour(active ? StandInBackend.Behaviour.ERRORS
          : StandInBackend.Behaviour.WELL);
      case RESETS_BACKEND -> backend.setBehaviour(active ? StandInBackend.Behaviour.RESETS
          : StandInBackend.Behaviour.WELL);
      case STALLS_BACKEND -> backend.setBehaviour(active ? StandInBackend.Behaviour.STALLS
          : StandInBackend.Behaviour.WELL);
      case SPOILS_BACKEND -> backend.setBehaviour(active ? StandInBackend.Behaviour.SPOILS
          : StandInBackend.Behaviour.WELL);
      case SLOW_BACKEND -> backend.setBehaviour(active ? StandInBackend.Behaviour.SLOW
          : StandInBackend.Behaviour.WELL);
      default -> throw new IllegalArgumentException("what: " + kind + " (expected: a backend fault)");
    }
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }
}
