package willowdoor.agreement;

import java.util.List;

/**
 * The part of the replicated state that a process of a door receives in the answer to its heartbeat.
 *
 * @param index how many commands had been applied, including the heartbeat's own
 * @param permits the permits of backends that are not waiting, and this door's own permit if there is one
 * @param known whether the process is known; a process that is not known has to join again
 * @param leaseMs for how many milliseconds the heartbeat counts, by the settings in force when it was
 *     committed
 * @param attempt the attempt of a release that this door has to carry out now, or 0
 * @param version the version that the attempt gives the door; empty if there is no attempt
 * @param tellList whether the door has to send its list of backends, because the replicated list differs
 */
public record DoorView(long index, List<Permit> permits, boolean known, double leaseMs, long attempt,
    String version, boolean tellList) {

  /** A view that does not ask for the list of backends. */
  public DoorView(long index, List<Permit> permits, boolean known, double leaseMs, long attempt,
      String version) {
    this(index, permits, known, leaseMs, attempt, version, false);
  }

  /** Makes a defensive copy. */
  public DoorView {
    permits = List.copyOf(permits);
  }
}
