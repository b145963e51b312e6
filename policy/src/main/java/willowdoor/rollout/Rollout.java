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
 * Runs one release as a deterministic state machine: the status of the doors and the replicated log's time
 * go in, requests for permits come out. Does no I/O, reads no clock and uses no random numbers, so every
 * steward computes the same state, and the command-line process that started the release need not stay alive.
 *
 * <p>A step of a door consists of permit, drain, replacement by a second process, and return. It begins with
 * the permit. Once the release is paused or halted no step begins. A pause lets steps with a granted permit
 * complete. After a halt or a rollback, a step whose door has not begun is withdrawn and leaves the version
 * as it was; a step whose door has begun ends by that door's own report: the new version serves, or the
 * attempt failed and the old version keeps serving. No timeout ends a step, as a door that can't be reached
 * may have begun.
 *
 * <p>The release halts by itself if a door's attempt failed; if a step or the wait for a permit takes too
 * long; if released doors return to the old version; if released doors are lost and the others are not lost
 * to a similar extent; and if released doors do worse than the others ({@link Evidence}). Backends are
 * released in the same way, except that an operator restarts them: a step lasts until discovery reports that
 * the backend started after requests to it had ceased, which then counts as the requested version. A start at
 * any other time changes no version. On the way back nothing is compared, as the target is the version that
 * released doors would be compared with.
 */
public final class Rollout {

  /** A released door counts as lost after this time, so that doors lost together are counted together. */
  private static final double LOST_AFTER_MS = 1_500;
  /** The release halts if released doors are lost more than this many times as often as the others. */
  private static final double LOST_RATIO = 3;


  private Release release;
  private final Map<String, TargetStatus> statuses = new LinkedHashMap<>();
  private final Map<String, Step> steps = new LinkedHashMap<>();
  private final Map<String, Double> startedBefore = new HashMap<>();
  private final List<PermitAction> actions = new ArrayList<>();

  /** Continues a release from its state. */
  public Rollout(Release release) {
    this.release = release;
    release.steps().forEach(x -> steps.put(x.door(), x));
    startedBefore.putAll(release.started());
  }

  /**
   * Starts a release.
   *
   * @param statuses the doors, in an order that is the same on every steward
   * @param attempts number of steps begun in earlier releases; doors distinguish attempts by their numbers
   * @throws IllegalArgumentException if no door is known, or a door has neither of the plan's versions
   */
  public static Rollout begin(long id, String request, String by, Plan plan, double nowMs,
      List<TargetStatus> statuses, long attempts) {
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

  /** Takes doors from the zones in turn, so that the first waves have doors of all zones. */
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

  /** The current state of the release. */
  public Release state() {
    return release;
  }

  /** Pauses the release: no further step begins until it is resumed. */
  public void pause(String by) {
    if (release.mode() == Mode.GOING) {
      setMode(Mode.PAUSED, "paused by " + by);
    }
  }

  /** Halts the release: no further step begins, and steps not begun at their doors are withdrawn. */
  public void halt(String why) {
    if (release.mode() != Mode.ENDED) {
      setMode(Mode.HALTED, why);
    }
  }

  /** Resumes the release in its current direction, with new timeouts and without the evidence so far. */
  public void resume(String by, double nowMs) {
    if (release.mode() != Mode.ENDED) {
      setMode(Mode.GOING, "resumed by " + by);
      restartTimers(nowMs);
    }
  }

  /** Rolls the release back: every door gets the old version again. */
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

  /** Restarts the timeouts of the steps and the collection of evidence. */
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

  /** Adds the results that a ready door reported since its last report. */
  public void addTally(String door, String version, Tally tally, double nowMs) {
    if (release.mode() == Mode.GOING && release.course() == Course.FORWARD && !steps.containsKey(door)
        && release.plan().of() == Plan.Kind.DOORS) {
      updateProgress(release.wave(), release.bakesSince(), release.evidence()
          .withRoundClosed(nowMs, release.plan().comparison())
          .with(version.equals(release.plan().to()), tally));
    }
  }

  /**
   * Records that requests to a backend have ceased: a later start means that it has its step's version.
   *
   * @param startedMs the start time that the backend had until now
   */
  public void backendTakenOut(String backend, double startedMs) {
    startedBefore.put(backend, startedMs);
    updateProgress(release.wave(), release.bakesSince(), release.evidence());
  }

  /** The step for which a door is to start its successor now, or null. */
  public Step dueStep(String door, boolean empty, double nowMs) {
    Step step = steps.get(door);
    return step != null && step.state() == State.GOING && release.plan().of() == Plan.Kind.DOORS
        && (empty || nowMs - step.sinceMs() >= release.plan().drainMs()) ? step : null;
  }

  /**
   * Advances the release by the current status of the doors, and returns the permits to request or return.
   *
   * @param index log index of the latest command applied
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

  /** Updates order and versions: doors that join later come last, and forgotten doors are removed. */
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
      // The door was forgotten, an operator returned its permit, or the return of the permit is complete.
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
    boolean disproportionate = lostReleased.size() * Math.max(1.0, others.size())
        > LOST_RATIO * othersUnreachable * releasedDoors.size();
    return lostReleased.isEmpty() || !disproportionate ? null
        : "released doors are lost: " + String.join(", ", lostReleased)
        + "; of the " + others.size() + " others " + othersUnreachable;
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

  /** Number of doors released at the end of the current wave; each wave has at least one door more. */
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

  /** Doors that do not have the target version yet and can't be reached. */
  public List<String> unreachableDoors() {
    return release.order().stream().filter(x -> !hasTargetVersion(x) && statuses.containsKey(x)
        && !statuses.get(x).isReachable())
        .collect(Collectors.toList());
  }
}
