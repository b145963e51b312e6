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
 * Faults by a schedule that one seed gives: what breaks, when, and for how long. A schedule is a plain list,
 * so that a test writes its own and a run prints the one it drew.
 */
public final class Faults implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(Faults.class.getName());

  /** What breaks. The target is a door's or a backend's number, and means nothing to the others. */
  public enum What {
    KILL_DOOR, STOP_DOOR, END_DOOR,
    KILL_BACKEND, DRAIN_BACKEND, REFUSE_BACKEND, ERRORS_BACKEND, RESETS_BACKEND, STALLS_BACKEND,
        SPOILS_BACKEND,
    SLOW_BACKEND, LOSE_ZONE_B,
    SLOW_COUNTER, HANG_COUNTER, LOSE_COUNTER, HANG_DISCOVERY,
    STALLS_AUTHORISER, DENIES_AUTHORISER, RESETS_AUTHORISER, SPOILS_AUTHORISER, LATE_AUTHORISER,
    GOES_AWAY_AUTHORISER, KILL_AUTHORISER
  }

  /** One fault; after it has lasted, what it broke is put right again. */
  public record Fault(double atMs, What what, int target, double lastsMs) { }

  private static final double SLOW_COUNTER_MS = 30;
  private static final long MOST_NOTICE_MS = 1_500;
  /** Later than any door waits for an authoriser. */
  private static final long LATE_AUTHORISER_MS = 2_500;

  private final Rig rig;
  private final List<? extends Door> doors;
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, r -> {
    Thread t = new Thread(r, "faults");
    t.setDaemon(true);
    return t;
  });
  private int begun;

  public Faults(Rig rig, List<? extends Door> doors) {
    this.rig = rig;
    this.doors = doors;
  }

  /** Kills so many different doors within a span, each for as long as the two bounds say. */
  public static List<Fault> kills(long seed, int doors, int kills, double fromMs, double withinMs,
      double leastAwayMs, double mostAwayMs) {
    Random random = new Random(seed);
    List<Integer> all = new ArrayList<>();
    for (int i = 0; i < doors; i++) {
      all.add(i);
    }
    java.util.Collections.shuffle(all, random);
    List<Fault> faults = new ArrayList<>();
    for (int door : all.subList(0, kills)) {
      faults.add(new Fault(fromMs + random.nextDouble() * withinMs, What.KILL_DOOR, door,
          leastAwayMs + random.nextDouble() * (mostAwayMs - leastAwayMs)));
    }
    faults.sort(Comparator.comparingDouble(Fault::atMs));
    return faults;
  }

  /** Draws so many faults of the given kinds. */
  public static List<Fault> draw(long seed, int faults, List<What> among, int targets, double fromMs,
      double toMs,
      double leastMs, double mostMs) {
    Random random = new Random(seed);
    List<Fault> drawn = new ArrayList<>();
    for (int i = 0; i < faults; i++) {
      drawn.add(new Fault(fromMs + random.nextDouble() * (toMs - fromMs),
          among.get(random.nextInt(among.size())),
          random.nextInt(targets), leastMs + random.nextDouble() * (mostMs - leastMs)));
    }
    drawn.sort(Comparator.comparingDouble(Fault::atMs));
    return drawn;
  }

  /** Causes them at their times, counted from now. */
  public void cause(List<Fault> schedule) {
    for (Fault f : schedule) {
      timer.schedule(() -> safely(f, true), (long) f.atMs(), TimeUnit.MILLISECONDS);
      timer.schedule(() -> safely(f, false), (long) (f.atMs() + f.lastsMs()), TimeUnit.MILLISECONDS);
    }
  }

  /** Faults that have begun. */
  public synchronized int begun() {
    return begun;
  }

  private void safely(Fault f, boolean on) {
    try {
      if (on) {
        synchronized (this) {
          begun++;
        }
      }
      act(f, on);
    } catch (RuntimeException e) {
      LOG.log(Level.WARNING, "could not cause or mend " + f, e);
    }
  }

  private void act(Fault f, boolean on) {
    switch (f.what()) {
      case KILL_DOOR -> {
        if (on) {
          doors.get(f.target()).kill();
        } else {
          doors.get(f.target()).start();
        }
      }
      case END_DOOR -> {
        if (on) {
          doors.get(f.target()).terminate();
        } else {
          doors.get(f.target()).start();
        }
      }
      case STOP_DOOR -> ((DoorProcess) doors.get(f.target())).stopped(on);
      case SLOW_COUNTER -> rig.counter().delay(on ? SLOW_COUNTER_MS : 1);
      case HANG_COUNTER -> rig.counter().hang(on);
      case LOSE_COUNTER -> {
        if (on) {
          rig.counter().lose();
        } else {
          rig.counter().comeBackEmpty();
        }
      }
      case HANG_DISCOVERY -> rig.discovery().hang(on);
      case LOSE_ZONE_B -> {
        if (on) {
          rig.park().loseZone("b", MOST_NOTICE_MS);
        } else {
          rig.park().restoreZone("b", MOST_NOTICE_MS);
        }
      }
      case STALLS_AUTHORISER, DENIES_AUTHORISER, RESETS_AUTHORISER, SPOILS_AUTHORISER, LATE_AUTHORISER,
          GOES_AWAY_AUTHORISER, KILL_AUTHORISER -> authoriser(f.what(), rig.authorisers().get(f.target()),
              on);
      default -> backend(f.what(), rig.park().backend(f.target()), on);
    }
  }

  private static void authoriser(What what, StandInAuthoriser a, boolean on) {
    if (what == What.KILL_AUTHORISER) {
      if (on) {
        a.die();
      } else {
        a.comeBack();
      }
      return;
    }
    a.delay(on && what == What.LATE_AUTHORISER ? LATE_AUTHORISER_MS : 0);
    a.mood(!on ? StandInAuthoriser.Mood.ALLOWS : switch (what) {
      case STALLS_AUTHORISER -> StandInAuthoriser.Mood.STALLS;
      case DENIES_AUTHORISER -> StandInAuthoriser.Mood.DENIES;
      case RESETS_AUTHORISER -> StandInAuthoriser.Mood.RESETS;
      case SPOILS_AUTHORISER -> StandInAuthoriser.Mood.SPOILS;
      case GOES_AWAY_AUTHORISER -> StandInAuthoriser.Mood.GOES_AWAY;
      default -> StandInAuthoriser.Mood.LATE;
    });
  }

  private void backend(What what, StandInBackend b, boolean on) {
    switch (what) {
      case KILL_BACKEND -> {
        if (on && b.alive()) {
          rig.park().kill(b, MOST_NOTICE_MS);
        } else if (!on && !b.alive()) {
          rig.park().restart(b, MOST_NOTICE_MS);
        }
      }
      case DRAIN_BACKEND -> {
        if (on) {
          rig.park().drain(b);
        } else {
          rig.park().undrain(b);
        }
      }
      case REFUSE_BACKEND -> b.refuse(on);
      case ERRORS_BACKEND -> b.mood(on ? StandInBackend.Mood.ERRORS : StandInBackend.Mood.WELL);
      case RESETS_BACKEND -> b.mood(on ? StandInBackend.Mood.RESETS : StandInBackend.Mood.WELL);
      case STALLS_BACKEND -> b.mood(on ? StandInBackend.Mood.STALLS : StandInBackend.Mood.WELL);
      case SPOILS_BACKEND -> b.mood(on ? StandInBackend.Mood.SPOILS : StandInBackend.Mood.WELL);
      case SLOW_BACKEND -> b.mood(on ? StandInBackend.Mood.SLOW : StandInBackend.Mood.WELL);
      default -> throw new IllegalArgumentException("what: " + what + " (expected: a fault of a backend)");
    }
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }
}
