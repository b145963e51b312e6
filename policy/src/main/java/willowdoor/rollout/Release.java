package willowdoor.rollout;

import java.util.List;
import java.util.Map;

/**
 * The complete state of a release: a {@link Rollout} created from it continues exactly like the one before.
 *
 * @param id increases over all releases
 * @param request the client's identifier of the request that started the release
 * @param by who started the release
 * @param course the direction of the release
 * @param mode whether steps begin
 * @param why the reason for the current mode, as text
 * @param wave index of the current wave in the plan, from 0
 * @param bakesSince when the current wave was complete, in ms; below 0 if it is not complete
 * @param attempts number of steps begun so far, in this release and all earlier ones
 * @param order the order in which doors are released
 * @param versions the last known version of each door
 * @param steps the steps under way
 * @param started for backends out of service for their step, the start time they had before, in ms
 */
public record Release(long id, String request, String by, Plan plan, Course course, Mode mode, String why,
    int wave,
    double bakesSince, long attempts, List<String> order, Map<String, String> versions, List<Step> steps,
    Map<String, Double> started, Evidence evidence) {

  /** Direction: to the new version, or back to the old one. */
  public enum Course { FORWARD, BACK }

  /** Whether steps begin. */
  public enum Mode {
    /** Steps begin as planned. */
    GOING,
    /** No step begins until an operator resumes the release. */
    PAUSED,
    /** As PAUSED, and steps that had not begun at their door are withdrawn. */
    HALTED,
    /** Every door has the target version. */
    ENDED
  }

  /** Copies the collections. */
  public Release {
    order = List.copyOf(order);
    versions = Map.copyOf(versions);
    steps = List.copyOf(steps);
    started = Map.copyOf(started);
  }

  /** The version that doors are to get: the new one, or the old one on the way back. */
  public String targetVersion() {
    return course == Course.FORWARD ? plan.to() : plan.from();
  }

  /** Whether no step is under way and none will begin unless an operator acts. */
  public boolean hasStopped() {
    return steps.isEmpty() && mode != Mode.GOING;
  }

  /** Number of doors that have the given version. */
  public long countWithVersion(String version) {
    return versions.values().stream().filter(version::equals).count();
  }
}
