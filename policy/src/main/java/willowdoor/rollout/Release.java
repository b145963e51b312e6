package willowdoor.rollout;

import java.util.List;
import java.util.Map;

/**
 * How a release stands, whole: one that is made from this goes on as the first would.
 *
 * @param id counted up over all releases
 * @param request the asker's name of the request that began it
 * @param by who began it
 * @param course which way it goes
 * @param mode whether it goes on
 * @param why what brought it to its mode, in words
 * @param wave which of the plan's waves, from 0
 * @param bakesSince when the wave was complete; below 0 where it isn't
 * @param attempts how many steps have begun, in this release and all before it
 * @param order of the doors
 * @param versions what each door was seen to have last
 * @param steps those under way
 * @param started of backends that are out for their step, when each had started before
 */
public record Release(long id, String request, String by, Plan plan, Course course, Mode mode, String why,
    int wave,
    double bakesSince, long attempts, List<String> order, Map<String, String> versions, List<Step> steps,
    Map<String, Double> started, Evidence evidence) {

  /** Which way it goes. */
  public enum Course { FORWARD, BACK }

  /** Whether it goes on. */
  public enum Mode {
    /** It does. */
    GOING,
    /** No step begins until an operator has it go on. */
    PAUSED,
    /** The same, and what hadn't begun at its door was taken back. */
    HALTED,
    /** Every door has the version that it was to have. */
    ENDED
  }

  /** Keeps copies. */
  public Release {
    order = List.copyOf(order);
    versions = Map.copyOf(versions);
    steps = List.copyOf(steps);
    started = Map.copyOf(started);
  }

  /** The version that doors are to have now. */
  public String targetVersion() {
    return course == Course.FORWARD ? plan.to() : plan.from();
  }

  /** Whether nothing of it is under way any more. */
  public boolean hasStopped() {
    return steps.isEmpty() && mode != Mode.GOING;
  }

  /** How many doors have a version. */
  public long countWithVersion(String version) {
    return versions.values().stream().filter(version::equals).count();
  }
}
