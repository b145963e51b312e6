package willowdoor.agreement;

import java.util.List;
import willowdoor.rollout.Release;

/** All that a record knows, for a snapshot: a record that is made from it goes on as the first one would. */
public record State(FleetSettings terms, long index, double nowMs, double leaderMs, long lastPermit,
    Command.BackendListId sight, double sightMs, List<DoorProcessState> lives, List<Command.Backend> backends,
    List<Permit> permits, List<Note> notes, List<String> over, List<Release> releases) {

  /** Keeps copies. */
  public State {
    lives = List.copyOf(lives);
    backends = List.copyOf(backends);
    permits = List.copyOf(permits);
    notes = List.copyOf(notes);
    over = List.copyOf(over);
    releases = List.copyOf(releases);
  }
}
