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
import willowdoor.rollout.TargetStatus.PermitState;
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
  private static final double LOST_AFTER_MS = 1_500;
  /** Released doors are lost so many times as often as the others before that speaks against the version. */
  private static final double LOST_RATIO = 3;


  private Release release;
  private final Map<String, TargetStatus> statuses = new LinkedHashMap<>();
  private final Map<String, Step> steps = new LinkedHashMap<>();
  private final Map<String, Double> startedBefore = new HashMap<>();
  private final List<PermitAction> actions = new ArrayList<>();

  /** Goes on from there. */
  public Rollout(Release release) {
    this.release = release;
    release.steps().forEach(x -> steps.put(x.door(), x));
    startedBefore.putAll(release.started());
  }

  /**
   * A new one.
   *
   * @param statuses the doors, in an order that is the same wherever the record is
   * @param attempts how many steps releases before it began: a door tells attempts apart by their numbers
   * @throws IllegalArgumentException in words, where the doors have other versions than the plan's
   */
  public static Rollout begin(long id, String request, String by, Plan plan, double nowMs,
      List<TargetStatus> statuses,
      long attempts) {
    if (statuses.isEmpty()) {
      throw new IllegalArgumentException("no door is known");
    }
    for (TargetStatus x : statuses) {
      if (!x.version().isEmpty() && !x.version().equals(plan.from()) && !x.version().equals(plan.to())) {
        throw new IllegalArgumentException("door " + x.door() + " has version " + x.version() + " (expected: "
            + plan.from() + " or " + plan.to() + ", as never more than two serve)");
      }
    }
    return new Rollout(new Release(id, request, by, plan, Course.FORWARD, Mode.GOING, "begun by " + by, 0,
        -1, attempts, interleaveZones(statuses), Map.of(), List.of(), Map.of(), Evidence.empty(nowMs)));
  }

  /** Zones by turns, so that the first waves have doors of all of them. */
  private static List<String> interleaveZones(List<TargetStatus> statuses) {
    Map<String, List<String>> zones = new LinkedHashMap<>();
    statuses.forEach(x -> zones.computeIfAbsent(x.zone(), z -> new ArrayList<>()).add(x.door()));
    List<String> order = new ArrayList<>();
    for (int i = 0; order.size() < statuses.size(); i++) {
      for (List<String> zone : zones.values()) {
        if (i < zone.size()) {
          order.add(zone.get(i));
        }
      }
    }
    return order;
  }

  /** How it stands. */
  public Release state() {
    return release;
  }

  /** No further step begins until it is resumed. */
  public void pause(String by) {
    if (release.mode() == Mode.GOING) {
      setMode(Mode.PAUSED, "paused by " + by);
    }
  }

  /** No further step begins, and what hasn't begun at its door is taken back. */
  public void halt(String why) {
    if (release.mode() != Mode.ENDED) {
      setMode(Mode.HALTED, why);
    }
  }

  /** It goes on in its course; what was held against it so far is forgotten. */
  public void resume(String by, double nowMs) {
    if (release.mode() != Mode.ENDED) {
      setMode(Mode.GOING, "resumed by " + by);
      restartTimers(nowMs);
    }
  }

  /** Every door gets back the version that it had. */
  public void rollBack(String by, double nowMs) {
    if (release.mode() != Mode.ENDED) {
      Release r = release;
      release = new Release(r.id(), r.request(), r.by(), r.plan(), Course.BACK, Mode.GOING, "taken back by "
          + by, 0, -1,
          r.attempts(), r.order(), r.versions(), r.steps(), r.started(), r.evidence());
      restartTimers(nowMs);
    }
  }

  private void setMode(Mode mode, String why) {
    Release r = release;
    release = new Release(r.id(), r.request(), r.by(), r.plan(), r.course(), mode, why, r.wave(),
        r.bakesSince(),
        r.attempts(), r.order(), r.versions(), r.steps(), r.started(), r.evidence());
  }

  /** Waits and evidence count from here. */
  private void restartTimers(double nowMs) {
    steps.replaceAll((door, x) -> x.state() == State.WAITING || x.state() == State.GOING
        ? x.withState(x.state(), nowMs, x.since()) : x);
    updateProgress(release.wave(), -1, Evidence.empty(nowMs));
  }

  private void updateProgress(int wave, double bakesSince, Evidence evidence) {
    startedBefore.keySet().retainAll(steps.keySet());
    Release r = release;
    release = new Release(r.id(), r.request(), r.by(), r.plan(), r.course(), r.mode(), r.why(), wave,
        bakesSince, r.attempts(), r.order(), r.versions(), List.copyOf(steps.values()), startedBefore,
        evidence);
  }

  /** A door that is ready said what it came to since it last did. */
  public void addTally(String door, String version, Tally tally, double nowMs) {
    if (release.mode() == Mode.GOING && release.course() == Course.FORWARD && !steps.containsKey(door)
        && release.plan().of() == Plan.Kind.DOORS) {
      updateProgress(release.wave(), release.bakesSince(),
          release.evidence().withRoundClosed(nowMs, release.plan()
          .comparison()).with(version.equals(release.plan().to()), tally));
    }
  }

  /** Nothing is sent to a backend any more: what starts after this has its step's version. */
  public void backendTakenOut(String backend, double startedMs) {
    startedBefore.put(backend, startedMs);
    updateProgress(release.wave(), release.bakesSince(), release.evidence());
  }

  /** What a door is to do for its step now; null for nothing. */
  public Step dueStep(String door, boolean empty, double nowMs) {
    Step step = steps.get(door);
    return step != null && step.state() == State.GOING && release.plan().of() == Plan.Kind.DOORS
        && (empty || nowMs - step.sinceMs() >= release.plan().drainMs()) ? step : null;
  }

  /**
   * Goes on by what is seen now.
   *
   * @param index the command that was taken last
   */
  public List<PermitAction> advance(double nowMs, long index, List<TargetStatus> current) {
    actions.clear();
    if (release.mode() == Mode.ENDED) {
      return List.of();
    }
    statuses.clear();
    current.forEach(x -> statuses.put(x.door(), x));
    updateVersions();
    List.copyOf(steps.values()).forEach(x -> advanceStep(x, statuses.get(x.door()), nowMs, index));
    if (release.mode() == Mode.GOING) {
      haltOnRegression(nowMs);
    }
    if (release.mode() == Mode.GOING) {
      advanceWave(nowMs, index);
    }
    updateProgress(release.wave(), release.bakesSince(), release.evidence());
    return List.copyOf(actions);
  }

  /** Who there is; a door that joins later comes last, one that was forgotten is no more. */
  private void updateVersions() {
    Map<String, String> versions = new HashMap<>(release.versions());
    List<String> order = new ArrayList<>(release.order());
    Set<String> known = new HashSet<>(order);
    List<String> reverted = new ArrayList<>();
    statuses.values().forEach(x -> {
      if (known.add(x.door())) {
        order.add(x.door());
      }
      if (!x.version().isEmpty()) {
        String before = versions.put(x.door(), x.version());
        if (release.targetVersion().equals(before) && !before.equals(x.version())) {
          reverted.add(x.door());
        }
      }
    });
    order.removeIf(x -> !statuses.containsKey(x));
    versions.keySet().retainAll(statuses.keySet());
    Release r = release;
    release = new Release(r.id(), r.request(), r.by(), r.plan(), r.course(), r.mode(), r.why(), r.wave(),
        r.bakesSince(), r.attempts(), order, versions, r.steps(), r.started(), r.evidence());
    if (!reverted.isEmpty() && r.mode() == Mode.GOING && r.course() == Course.FORWARD) {
      halt("back on an older version by themselves: " + String.join(", ", reverted));
    }
  }

  private void advanceStep(Step step, TargetStatus status, double nowMs, long index) {
    if (status == null || status.permit() == PermitState.NONE && step.state() != State.WAITING) {
      // Forgotten, or an operator gave its permit back; a permit that is returned ends so too.
      steps.remove(step.door());
      if (step.state() == State.WAITING) {
        actions.add(new PermitAction.ReturnPermit(step));
      }
      return;
    }
    boolean wanted = release.mode() == Mode.GOING && step.version().equals(release.targetVersion());
    switch (step.state()) {
      case WAITING -> {
        if (status.permit() == PermitState.GRANTED && wanted) {
          steps.put(step.door(), step.withState(State.GOING, nowMs, index));
        } else if (!wanted || status.permit() == PermitState.NONE) {
          actions.add(new PermitAction.ReturnPermit(step));
          steps.remove(step.door());
        } else if (nowMs - step.sinceMs() >= release.plan().stepMs()) {
          halt("no permit for " + step.door() + " within " + Math.round(release.plan().stepMs()) + " ms: "
              + status.waitReason());
        }
      }
      case GOING -> {
        if (isResolved(step, status)) {
          endStep(step, status, nowMs, index);
        } else if (!wanted && release.mode() != Mode.PAUSED) {
          steps.put(step.door(), step.withState(State.WITHDRAWN, nowMs, index));
        } else if (release.mode() == Mode.GOING && nowMs - step.sinceMs() >= release.plan().stepMs()) {
          halt(step.door() + " is not back with " + step.version() + " after "
              + Math.round(release.plan().stepMs()) + " ms");
        }
      }
      case WITHDRAWN -> {
        boolean started = status.startedAttempt() == step.attempt();
        if (isResolved(step, status) || !started && status.isReachable()
            && status.knownIndex() >= step.since()) {
          endStep(step, status, nowMs, index);
        }
      }
      case RETURNING -> { }
    }
  }

  private static boolean isResolved(Step step, TargetStatus status) {
    return status.version().equals(step.version()) || status.failedAttempt() == step.attempt();
  }

  private void endStep(Step step, TargetStatus status, double nowMs, long index) {
    steps.put(step.door(), step.withState(State.RETURNING, nowMs, index));
    actions.add(new PermitAction.ReturnPermit(step));
    if (status.failedAttempt() == step.attempt() && !status.version().equals(step.version())) {
      halt(step.door() + " could not be replaced by " + step.version() + ", and serves on with "
          + status.version());
    }
  }

  private void haltOnRegression(double nowMs) {
    if (release.course() == Course.BACK) {
      return;
    }
    Evidence closed = release.evidence().withRoundClosed(nowMs, release.plan().comparison());
    updateProgress(release.wave(), release.bakesSince(), closed);
    String worse = closed.describeRegression(release.plan().comparison());
    String lost = describeLostDoors();
    if (worse != null) {
      halt(worse);
    } else if (lost != null) {
      halt(lost);
    }
  }

  private String describeLostDoors() {
    List<String> releasedDoors = new ArrayList<>();
    List<String> others = new ArrayList<>();
    List<String> lostReleased = new ArrayList<>();
    int othersUnreachable = 0;
    for (TargetStatus x : statuses.values()) {
      boolean released = release.plan().to().equals(release.versions().get(x.door()));
      (released ? releasedDoors : others).add(x.door());
      if (released && x.unreachableMs() >= LOST_AFTER_MS && !steps.containsKey(x.door())) {
        lostReleased.add(x.door());
      } else if (!released && !x.isReachable()) {
        othersUnreachable++;
      }
    }
    boolean disproportionate = lostReleased.size() * Math.max(1.0, others.size()) > LOST_RATIO
        * othersUnreachable * releasedDoors.size();
    return lostReleased.isEmpty() || !disproportionate ? null
        : "released doors are lost: " + String.join(", ", lostReleased)
        + "; of the "
        + others.size() + " others " + othersUnreachable;
  }

  private void advanceWave(double nowMs, long index) {
    List<String> countedDoors = release.order().stream()
        .filter(x -> hasTargetVersion(x) || statuses.get(x).isReachable()).toList();
    boolean last = release.course() == Course.BACK || release.wave() >= release.plan().waves().size() - 1;
    List<String> wave = last ? release.order()
        : countedDoors.subList(0, Math.min(waveSize(countedDoors.size()), countedDoors.size()));
    if (!wave.isEmpty() && wave.stream().allMatch(this::hasTargetVersion) && steps.isEmpty()) {
      advanceBake(nowMs, last);
      return;
    }
    if (steps.values().stream().noneMatch(x -> x.state() == State.WAITING)) {
      wave.stream().filter(x -> !hasTargetVersion(x) && !steps.containsKey(x) && statuses.get(x).serving()
          && !statuses.get(x).heldByOthers()).findFirst().ifPresent(x -> begin(x, nowMs, index));
    }
  }

  private boolean hasTargetVersion(String door) {
    return release.targetVersion().equals(release.versions().get(door));
  }

  /** At least one door more in each wave. */
  private int waveSize(int doorCount) {
    int size = 0;
    for (int i = 0; i <= release.wave(); i++) {
      size = Math.max(size + 1, (int) StrictMath.ceil(release.plan().waves().get(i) * doorCount - 1e-9));
    }
    return size;
  }

  private void advanceBake(double nowMs, boolean last) {
    if (release.course() == Course.BACK) {
      setMode(Mode.ENDED, "every door has " + release.targetVersion() + " again");
    } else if (release.bakesSince() < 0) {
      updateProgress(release.wave(), nowMs, release.evidence());
    } else if (nowMs - release.bakesSince() >= release.plan().settleMs() + release.plan().bakeMs()) {
      if (last) {
        setMode(Mode.ENDED, "every door has " + release.targetVersion());
      } else {
        updateProgress(release.wave() + 1, -1, Evidence.empty(nowMs));
      }
    }
  }

  private void begin(String door, double nowMs, long index) {
    Release r = release;
    Step step = new Step(door, r.attempts() + 1, r.targetVersion(), State.WAITING, nowMs, index);
    steps.put(door, step);
    startedBefore.remove(door);
    release = new Release(r.id(), r.request(), r.by(), r.plan(), r.course(), r.mode(), r.why(), r.wave(), -1,
        r.attempts() + 1, r.order(), r.versions(), r.steps(), r.started(), r.evidence());
    actions.add(new PermitAction.RequestPermit(step));
  }

  /** Which doors it waits for that are not reached. */
  public List<String> unreachableDoors() {
    return release.order().stream()
        .filter(x -> !hasTargetVersion(x) && statuses.containsKey(x) && !statuses.get(x).isReachable())
        .collect(Collectors.toList());
  }
}
