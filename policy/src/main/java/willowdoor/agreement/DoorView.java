package willowdoor.agreement;

import java.util.List;

/**
 * What a door is told of the record in the answer to a heartbeat.
 *
 * @param index how many commands the record had taken, the heartbeat's among them
 * @param permits those of backends that are not waiting, and this door's own if it has one
 * @param known whether the record has this process; if not, it joins again
 * @param leaseMs for how long the heartbeat counts, by the terms that held when it was agreed on
 * @param attempt of a release that this door is to follow now, 0 for none
 * @param version that the door is to have by it; empty where there is none
 * @param tellList whether the door is to tell its list of backends, as the record has another
 */
public record DoorView(long index, List<Permit> permits, boolean known, double leaseMs, long attempt,
    String version, boolean tellList) {

  /** One that asks for no list. */
  public DoorView(long index, List<Permit> permits, boolean known, double leaseMs, long attempt,
      String version) {
    this(index, permits, known, leaseMs, attempt, version, false);
  }

  /** Keeps a copy. */
  public DoorView {
    permits = List.copyOf(permits);
  }
}
