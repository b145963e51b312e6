package willowdoor.agreement;

import java.util.List;
import willowdoor.rollout.Release;

/**
 * A snapshot of the replicated state machine. A state machine restored from a snapshot continues exactly as
 * the original.
 *
 * @param index how many commands were applied
 * @param nowMs the replicated time in milliseconds
 * @param leaderMs the leader's clock at the last command, in milliseconds; NaN before the first leader
 * @param lastPermit the permit id that was assigned last
 * @param sight the identity of the last list of backends
 * @param sightMs the replicated time at which that list was applied
 * @param over names of requests and processes that have ended, the oldest first
 * @param releases the last releases, the oldest first
 */
public record State(FleetSettings terms, long index, double nowMs, double leaderMs, long lastPermit,
    Command.BackendListId sight, double sightMs, List<DoorProcessState> lives, List<Command.Backend> backends,
    List<Permit> permits, List<Note> notes, List<String> over, List<Release> releases) {

  /** Makes defensive copies. */
  public State {
    lives = List.copyOf(lives);
    backends = List.copyOf(backends);
    permits = List.copyOf(permits);
    notes = List.copyOf(notes);
    over = List.copyOf(over);
    releases = List.copyOf(releases);
  }
}
