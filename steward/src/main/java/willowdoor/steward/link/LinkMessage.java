package willowdoor.steward.link;

/** What goes over a link between processes of the fleet, beside the stewards' own messages. */
sealed interface LinkMessage {

  /** The version that this program speaks. */
  int VERSION = 2;

  /** The oldest that it understands; before it doors told no version of theirs. */
  int OLDEST = 2;

  /** Who begins a connection. */
  enum Role { STEWARD, DOOR, OPERATOR }

  /**
   * The first on a connection, by the one that began it.
   *
   * @param least the oldest version that it understands
   * @param most the newest
   * @param group which fleet's stewards are meant
   * @param name of a steward or a door; of an operator as told by the command
   * @param disk of a steward: which disk it keeps the record on; otherwise empty
   */
  record Hello(int least, int most, String group, Role role, String name, String disk)
      implements LinkMessage { }

  /** The connection may be used, in this version. */
  record Welcome(int version, String steward) implements LinkMessage { }

  /** It may not, and ends. */
  record Refused(String why) implements LinkMessage { }

  /**
   * A call.
   *
   * @param id of the call on this connection
   * @param passedOn whether a steward that doesn't lead passed it on, so that nobody passes it on again
   */
  record Ask(long id, boolean passedOn, Call call) implements LinkMessage { }

  /** The answer to a call. */
  record Reply(long id, Answer answer) implements LinkMessage { }
}
