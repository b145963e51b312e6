package willowdoor.steward.link;

import willowdoor.agreement.Command;
import willowdoor.steward.Steward;
import willowdoor.steward.StewardId;

/** Calls to the stewards; any steward accepts them. */
public sealed interface Call {

  /** Proposes a command; its time is replaced by the leader's clock. */
  record Put(Command command) implements Call { }

  /** Delivers a door's heartbeat; the answer is the door's view of the record. */
  record Beat(Command.Heartbeat beat) implements Call { }

  /** Changes a steward's membership. */
  record Part(StewardId who, Steward.MembershipChange change) implements Call { }

  /** Asks for the progress that the given steward has acknowledged to the called one. */
  record Recall(StewardId who) implements Call { }

  /** Checks that the link is alive. */
  record Ping() implements Call { }

  /** Asks for the state of the record, confirmed by a majority. */
  record Look() implements Call { }
}
