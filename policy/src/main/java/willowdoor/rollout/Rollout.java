package willowdoor.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import willowdoor.rollout.Release.Course;
import willowdoor.rollout.Release.Mode;
import willowdoor.rollout.Seen.Held;
import willowdoor.rollout.Step.State;

/**
 * Carries one release on: what the record sees of the doors and its time in, wishes for permits out. It does
 * no I/O, reads no clock and draws no chance, so every steward carries it on in the same way, and the command
 * that began it may die.
 *
 * <p>A door's step is permit, drain, replacement by a second process, return. It begins with the permit. Once
 * the release is paused or halted no step begins; one whose door has not begun is taken back and leaves the
 * old version, one whose door has begun ends by that door's own word: the new version serves, or the attempt
 * came to nothing and the old one serves on. No timer ends a step, as a door that isn't heard may have begun.
 *
 * <p>The release halts by itself where a door's attempt came to nothing, where a step or the wait for a
 * permit takes too long, where released doors are lost, or fall back, and others are not lost in the same
 * measure, and where they do worse ({@link Evidence}). Backends are released in the same way, but for who
 * restarts them: the step goes on until discovery tells of a start since nothing is sent to it, which is
 * then the version asked for; a start at any other time changes no version. On the way back nothing is
 * compared: what is gone back to is what others would be compared with.
 */
public final class Rollout {

  /** A released door counts as lost after this, so that doors that are lost together are seen together. */
  private static final double LOST_MS = 1_500;
  /** Released doors are lost so many times as often as the others before that speaks against the version. */
  private static final double LOST_RATIO = 3;


  private Release release;
  private final Map<String, Seen> doors = new LinkedHashMap<>();
  private final Map<String, Step> steps = new LinkedHashMap<>();
  private final Map<String, Double> started = new HashMap<>();
  private final List<Wish> wishes = new ArrayList<>();

  /** Goes on from there. */
  public Rollout(Release release) {
    this.release = release;
    release.steps().forEach(x -> steps.put(x.door(), x));
    started.putAll(release.started());
  }

  /**
   * A new one.
   *
   * @param seen the doors, in an order that is the same wherever the record is
   * @param attempts how many steps releases before it began: a door tells attempts apart by their numbers
   * @throws IllegalArgumentException in words, where the doors have other versions than the plan's
   */
  public static Rollout begin(long id, String request, String by, Plan plan, double nowMs, List<Seen> seen,
      long attempts) {
    if (seen.isEmpty()) {
      throw new IllegalArgumentException("no door is known");
    }
    for (Seen x : seen) {
      if (!x.version().isEmpty() && !x.version().equals(plan.from()) && !x.version().equals(plan.to())) {
        throw new IllegalArgumentException("door " + x.door() + " has version " + x.version() + " (expected: "
            + plan.from() + " or " + plan.to() + ", as never more than two serve)");
      }
    }
    return new Rollout(new Release(id, request, by, plan, Course.FORWARD, Mode.GOING, "begun by " + by, 0,
        -1, attempts, inTurns(seen), Map.of(), List.of(), Map.of(), Evidence.none(nowMs)));
  }

  /** Zones by turns, so that the first waves have doors of all of them. */
  private static List<String> inTurns(List<Seen> seen) {
    Map<String, List<String>> zones = new LinkedHashMap<>();
    seen.forEach(x -> zones.computeIfAbsent(x.zone(), z -> new ArrayList<>()).add(x.door()));
    List<String> all = new ArrayList<>();
    for (int i = 0; all.size() < seen.size(); i++) {
      for (List<String> zone : zones.values()) {
        if (i < zone.size()) {
          all.add(zone.get(i));
        }
      }
    }
    return all;
  }

  /** How it stands. */
  public Release state() {
    return release;
  }

  /** No further step begins until it is resumed. */
  public void pause(String by) {
    if (release.mode() == Mode.GOING) {
      mode(Mode.PAUSED, "paused by " + by);
    }
  }

  /** No further step begins, and what hasn't begun at its door is taken back. */
  public void halt(String why) {
    if (release.mode() != Mode.ENDED) {
      mode(Mode.HALTED, why);
    }
  }

  /** It goes on in its course; what was held against it so far is forgotten. */
  public void resume(String by, double nowMs) {
    if (release.mode() != Mode.ENDED) {
      mode(Mode.GOING, "resumed by " + by);
      anew(nowMs);
    }
  }

  /** Every door gets back the version that it had. */
  public void back(String by, double nowMs) {
    if (release.mode() != Mode.ENDED) {
      Release r = release;
      release = new Release(r.id(), r.request(), r.by(), r.plan(), Course.BACK, Mode.GOING, "taken back by "
          + by, 0, -1,
          r.attempts(), r.order(), r.versions(), r.steps(), r.started(), r.evidence());
      anew(nowMs);
    }
  }

  private void mode(Mode mode, String why) {
    Release r = release;
    release = new Release(r.id(), r.request(), r.by(), r.plan(), r.course(), mode, why, r.wave(),
        r.bakesSince(),
        r.attempts(), r.order(), r.versions(), r.steps(), r.started(), r.evidence());
  }

  /** Waits and evidence count from here. */
  private void anew(double nowMs) {
    steps.replaceAll((door, x) -> x.state() == State.WAITING || x.state() == State.GOING
        ? x.at(x.state(), nowMs, x.since()) : x);
    progress(release.wave(), -1, Evidence.none(nowMs));
  }

  private void progress(int wave, double bakesSince, Evidence evidence) {
    started.keySet().retainAll(steps.keySet());
    Release r = release;
    release = new Release(r.id(), r.request(), r.by(), r.plan(), r.course(), r.mode(), r.why(), wave,
        bakesSince, r.attempts(), r.order(), r.versions(), List.copyOf(steps.values()), started, evidence);
  }

  /** A door that is ready said what it came to since it last did. */
  public void said(String door, String version, Tally more, double nowMs) {
    if (release.mode() == Mode.GOING && release.course() == Course.FORWARD && !steps.containsKey(door)
        && release.plan().of() == Plan.Of.DOORS) {
      progress(release.wave(), release.bakesSince(), release.evidence().closed(nowMs, release.plan()
          .comparison()).with(version.equals(release.plan().to()), more));
    }
  }

  /** Nothing is sent to a backend any more: what starts after this has its step's version. */
  public void out(String backend, double startedMs) {
    started.put(backend, startedMs);
    progress(release.wave(), release.bakesSince(), release.evidence());
  }

  /** What a door is to do for its step now; null for nothing. */
  public Step due(String door, boolean empty, double nowMs) {
    Step step = steps.get(door);
    return step != null && step.state() == State.GOING && release.plan().of() == Plan.Of.DOORS
        && (empty || nowMs - step.sinceMs() >= release.plan().drainMs()) ? step : null;
  }

  /**
   * Goes on by what is seen now.
   *
   * @param index the command that was taken last
   */
  public List<Wish> settle(double nowMs, long index, List<Seen> seen) {
    wishes.clear();
    if (release.mode() == Mode.ENDED) {
      return List.of();
    }
    doors.clear();
    seen.forEach(x -> doors.put(x.door(), x));
    look();
    List.copyOf(steps.values()).forEach(x -> step(x, doors.get(x.door()), nowMs, index));
    if (release.mode() == Mode.GOING) {
      watch(nowMs);
    }
    if (release.mode() == Mode.GOING) {
      goOn(nowMs, index);
    }
    progress(release.wave(), release.bakesSince(), release.evidence());
    return List.copyOf(wishes);
  }

  /** Who there is; a door that joins later comes last, one that was forgotten is no more. */
  private void look() {
    Map<String, String> versions = new HashMap<>(release.versions());
    List<String> order = new ArrayList<>(release.order());
    Set<String> known = new HashSet<>(order);
    List<String> fallen = new ArrayList<>();
    doors.values().forEach(x -> {
      if (known.add(x.door())) {
        order.add(x.door());
      }
      if (!x.version().isEmpty()) {
        String before = versions.put(x.door(), x.version());
        if (release.target().equals(before) && !before.equals(x.version())) {
          fallen.add(x.door());
        }
      }
    });
    order.removeIf(x -> !doors.containsKey(x));
    versions.keySet().retainAll(doors.keySet());
    Release r = release;
    release = new Release(r.id(), r.request(), r.by(), r.plan(), r.course(), r.mode(), r.why(), r.wave(),
        r.bakesSince(), r.attempts(), order, versions, r.steps(), r.started(), r.evidence());
    if (!fallen.isEmpty() && r.mode() == Mode.GOING && r.course() == Course.FORWARD) {
      halt("back on an older version by themselves: " + String.join(", ", fallen));
    }
  }

  private void step(Step step, Seen seen, double nowMs, long index) {
    if (seen == null || seen.held() == Held.NONE && step.state() != State.WAITING) {
      // Forgotten, or an operator gave its permit back; a permit that is returned ends so too.
      steps.remove(step.door());
      if (step.state() == State.WAITING) {
        wishes.add(new Wish.GiveBack(step));
      }
      return;
    }
    boolean wanted = release.mode() == Mode.GOING && step.version().equals(release.target());
    switch (step.state()) {
      case WAITING -> {
        if (seen.held() == Held.GRANTED && wanted) {
          steps.put(step.door(), step.at(State.GOING, nowMs, index));
        } else if (!wanted || seen.held() == Held.NONE) {
          wishes.add(new Wish.GiveBack(step));
          steps.remove(step.door());
        } else if (nowMs - step.sinceMs() >= release.plan().stepMs()) {
          halt("no permit for " + step.door() + " within " + Math.round(release.plan().stepMs()) + " ms: "
              + seen.waitsFor());
        }
      }
      case GOING -> {
        if (resolved(step, seen)) {
          end(step, seen, nowMs, index);
        } else if (!wanted && release.mode() != Mode.PAUSED) {
          steps.put(step.door(), step.at(State.WITHDRAWN, nowMs, index));
        } else if (release.mode() == Mode.GOING && nowMs - step.sinceMs() >= release.plan().stepMs()) {
          halt(step.door() + " is not back with " + step.version() + " after "
              + Math.round(release.plan().stepMs()) + " ms");
        }
      }
      case WITHDRAWN -> {
        boolean begun = seen.trying() == step.attempt();
        if (resolved(step, seen) || !begun && seen.reached() && seen.knows() >= step.since()) {
          end(step, seen, nowMs, index);
        }
      }
      case RETURNING -> { }
    }
  }

  private static boolean resolved(Step step, Seen seen) {
    return seen.version().equals(step.version()) || seen.failed() == step.attempt();
  }

  private void end(Step step, Seen seen, double nowMs, long index) {
    steps.put(step.door(), step.at(State.RETURNING, nowMs, index));
    wishes.add(new Wish.GiveBack(step));
    if (seen.failed() == step.attempt() && !seen.version().equals(step.version())) {
      halt(step.door() + " could not be replaced by " + step.version() + ", and serves on with "
          + seen.version());
    }
  }

  private void watch(double nowMs) {
    if (release.course() == Course.BACK) {
      return;
    }
    Evidence closed = release.evidence().closed(nowMs, release.plan().comparison());
    progress(release.wave(), release.bakesSince(), closed);
    String worse = closed.worse(release.plan().comparison());
    String lost = lost();
    if (worse != null) {
      halt(worse);
    } else if (lost != null) {
      halt(lost);
    }
  }

  private String lost() {
    List<String> released = new ArrayList<>();
    List<String> others = new ArrayList<>();
    List<String> gone = new ArrayList<>();
    int othersGone = 0;
    for (Seen x : doors.values()) {
      boolean has = release.plan().to().equals(release.versions().get(x.door()));
      (has ? released : others).add(x.door());
      if (has && x.lostMs() >= LOST_MS && !steps.containsKey(x.door())) {
        gone.add(x.door());
      } else if (!has && !x.reached()) {
        othersGone++;
      }
    }
    boolean more = gone.size() * Math.max(1.0, others.size()) > LOST_RATIO * othersGone * released.size();
    return gone.isEmpty() || !more ? null : "released doors are lost: " + String.join(", ", gone)
        + "; of the "
        + others.size() + " others " + othersGone;
  }

  private void goOn(double nowMs, long index) {
    List<String> there = release.order().stream().filter(x -> has(x) || doors.get(x).reached()).toList();
    boolean last = release.course() == Course.BACK || release.wave() >= release.plan().waves().size() - 1;
    List<String> wave = last ? release.order() : there.subList(0, Math.min(size(there.size()), there.size()));
    if (!wave.isEmpty() && wave.stream().allMatch(this::has) && steps.isEmpty()) {
      bake(nowMs, last);
      return;
    }
    if (steps.values().stream().noneMatch(x -> x.state() == State.WAITING)) {
      wave.stream().filter(x -> !has(x) && !steps.containsKey(x) && doors.get(x).serves()
          && !doors.get(x).taken()).findFirst().ifPresent(x -> begin(x, nowMs, index));
    }
  }

  private boolean has(String door) {
    return release.target().equals(release.versions().get(door));
  }

  /** At least one door more in each wave. */
  private int size(int all) {
    int size = 0;
    for (int i = 0; i <= release.wave(); i++) {
      size = Math.max(size + 1, (int) StrictMath.ceil(release.plan().waves().get(i) * all - 1e-9));
    }
    return size;
  }

  private void bake(double nowMs, boolean last) {
    if (release.course() == Course.BACK) {
      mode(Mode.ENDED, "every door has " + release.target() + " again");
    } else if (release.bakesSince() < 0) {
      progress(release.wave(), nowMs, release.evidence());
    } else if (nowMs - release.bakesSince() >= release.plan().settleMs() + release.plan().bakeMs()) {
      if (last) {
        mode(Mode.ENDED, "every door has " + release.target());
      } else {
        progress(release.wave() + 1, -1, Evidence.none(nowMs));
      }
    }
  }

  private void begin(String door, double nowMs, long index) {
    Release r = release;
    Step step = new Step(door, r.attempts() + 1, r.target(), State.WAITING, nowMs, index);
    steps.put(door, step);
    started.remove(door);
    release = new Release(r.id(), r.request(), r.by(), r.plan(), r.course(), r.mode(), r.why(), r.wave(), -1,
        r.attempts() + 1, r.order(), r.versions(), r.steps(), r.started(), r.evidence());
    wishes.add(new Wish.Ask(step));
  }

  /** Which doors it waits for that are not reached. */
  public List<String> away() {
    return release.order().stream().filter(x -> !has(x) && doors.containsKey(x) && !doors.get(x).reached())
        .collect(Collectors.toList());
  }
}
