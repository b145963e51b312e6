package willowdoor.steward.link;

import java.util.List;
import willowdoor.agreement.DoorProcessState;
import willowdoor.agreement.Note;
import willowdoor.agreement.Permit;
import willowdoor.agreement.FleetSettings;
import willowdoor.rollout.Release;

/**
 * The state of the fleet record.
 *
 * @param leader the steward that answered
 * @param index number of commands applied
 * @param doors number of known doors
 * @param doorsOut number of doors out of service, whether planned or not
 * @param backends number of listed backends
 * @param backendsOut number of backends out of service
 * @param lives the doors' processes
 * @param held for each of {@code permits}, in the same order, the processes (door/incarnation) that delay
 *     taking the backend out; empty if there are none
 * @param notes the recorded notes, oldest first
 * @param releases the latest releases, the one in progress last
 */
public record FleetStatus(String leader, long index, FleetSettings terms, int doors, int doorsOut,
    int backends,
    int backendsOut, List<DoorProcessState> lives, List<Permit> permits, List<List<String>> held,
    List<Note> notes,
    List<Release> releases) {

  /** Copies the lists. */
  public FleetStatus {
    lives = List.copyOf(lives);
    permits = List.copyOf(permits);
    held = held.stream().map(List::copyOf).toList();
    notes = List.copyOf(notes);
    releases = List.copyOf(releases);
  }
}
