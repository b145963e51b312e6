package willowdoor.steward.link;

import java.util.List;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.DoorView;
import willowdoor.steward.StewardId;

/** The answer to a {@link Call}. */
public sealed interface Answer {

  /** The command was committed, with this outcome. */
  record Came(Outcome outcome) implements Answer { }

  /** The heartbeat was committed. */
  record Seen(DoorView view) implements Answer { }

  /** The membership was changed; the voting members after the change. */
  record Votes(List<StewardId> voting) implements Answer {

    /** Copies the list. */
    public Votes {
      voting = List.copyOf(voting);
    }
  }

  /** The minimum progress that was acknowledged; 0 and 0 if unknown. */
  record Recalled(int term, long index) implements Answer { }

  /** The state of the record. */
  record Stands(FleetStatus standing) implements Answer { }

  /**
   * The call failed, with unknown effect: it may still be committed.
   *
   * @param again whether a retry of the same call may succeed
   */
  record Failed(String why, boolean again) implements Answer { }
}
