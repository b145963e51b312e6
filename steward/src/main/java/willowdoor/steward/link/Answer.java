package willowdoor.steward.link;

import java.util.List;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.DoorView;
import willowdoor.steward.StewardId;

/** What a {@link Call} came to. */
public sealed interface Answer {

  /** The command was agreed on, and came to this. */
  record Came(Outcome outcome) implements Answer { }

  /** The heartbeat was agreed on. */
  record Seen(DoorView view) implements Answer { }

  /** The part was changed; these vote now. */
  record Votes(List<StewardId> voting) implements Answer {

    /** Keeps a copy. */
    public Votes {
      voting = List.copyOf(voting);
    }
  }

  /** So much was promised at the least; 0 and 0 where nothing is known. */
  record Recalled(int term, long index) implements Answer { }

  /** How all stands. */
  record Stands(FleetStatus standing) implements Answer { }

  /**
   * Nothing is known of what became of it: it may be agreed on yet.
   *
   * @param again whether the same, asked again, may come to something
   */
  record Failed(String why, boolean again) implements Answer { }
}
