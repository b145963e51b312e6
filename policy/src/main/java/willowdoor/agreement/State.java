package willowdoor.agreement;

import java.util.List;

/** All that a record knows, for a snapshot: a record that is made from it goes on as the first one would. */
public record State(Terms terms, long index, double nowMs, double leaderMs, long lastPermit,
    List<Life> lives, List<Command.Backend> backends, List<Permit> permits, List<Note> notes) {

  /** Keeps copies. */
  public State {
    lives = List.copyOf(lives);
    backends = List.copyOf(backends);
    permits = List.copyOf(permits);
    notes = List.copyOf(notes);
  }
}
