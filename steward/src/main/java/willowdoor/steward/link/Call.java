package willowdoor.steward.link;

import willowdoor.agreement.Command;
import willowdoor.steward.Steward;
import willowdoor.steward.StewardId;

/** What is asked of the stewards, at any of them. */
public sealed interface Call {

  /** Have a command agreed on; its time is the leader's, whatever it says. */
  record Put(Command command) implements Call { }

  /** Take a heartbeat, and tell what the record knows for this door. */
  record Beat(Command.Heartbeat beat) implements Call { }

  /** Have a steward's part changed. */
  record Part(StewardId who, Steward.MembershipChange change) implements Call { }

  /** Tell what that steward has promised to the one that is asked. */
  record Recall(StewardId who) implements Call { }

  /** Say that the link is there. */
  record Ping() implements Call { }

  /** Tell how all stands, by a majority's word. */
  record Look() implements Call { }
}
