package willowdoor.steward.link;

import java.util.List;
import willowdoor.agreement.DoorProcessState;
import willowdoor.agreement.Note;
import willowdoor.agreement.Permit;
import willowdoor.agreement.FleetSettings;
import willowdoor.rollout.Release;

/**
 * How the record stands.
 *
 * @param leader the steward that says so
 * @param index how many commands the record had taken
 * @param doors how many doors are known
 * @param doorsOut how many of them are out, on purpose or by themselves
 * @param backends how many backends are listed
 * @param backendsOut how many of them are out
 * @param lives the processes of doors
 * @param held who holds up a backend's going out, for each permit as listed; none where nobody does
 * @param notes what was written down, the oldest first
 * @param releases the last ones, the one under way last
 */
public record FleetStatus(String leader, long index, FleetSettings terms, int doors, int doorsOut,
    int backends,
    int backendsOut, List<DoorProcessState> lives, List<Permit> permits, List<List<String>> held,
    List<Note> notes,
    List<Release> releases) {

  /** Keeps copies. */
  public FleetStatus {
    lives = List.copyOf(lives);
    permits = List.copyOf(permits);
    held = held.stream().map(List::copyOf).toList();
    notes = List.copyOf(notes);
    releases = List.copyOf(releases);
  }
}
