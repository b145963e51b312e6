package willowdoor.steward.link;

/** Messages of the links between processes of the fleet, besides the consensus messages of stewards. */
sealed interface LinkMessage {

  /** The newest protocol version that this program speaks. */
  int VERSION = 2;

  /** The oldest version accepted; earlier versions carry no program version of the door. */
  int OLDEST = 2;

  /** Kind of process that opens a connection. */
  enum Role { STEWARD, DOOR, OPERATOR }

  /**
   * The first message of a connection, sent by the side that opened it.
   *
   * @param least the oldest protocol version that the sender supports
   * @param most the newest one
   * @param group name of the fleet whose stewards are meant
   * @param name of the steward or door; for an operator, as given to the command
   * @param disk name of the disk that a steward stores the record on; empty for others
   */
  record Hello(int least, int most, String group, Role role, String name, String disk)
      implements LinkMessage { }

  /** Accepts the connection, with the protocol version to use. */
  record Welcome(int version, String steward) implements LinkMessage { }

  /** Refuses the connection, which is closed afterwards. */
  record Refused(String why) implements LinkMessage { }

  /**
   * A call.
   *
   * @param id unique among the calls of this connection
   * @param passedOn whether a steward that is not the leader forwarded the call; nobody forwards it again
   */
  record Ask(long id, boolean passedOn, Call call) implements LinkMessage { }

  /** The answer to the call with this id. */
  record Reply(long id, Answer answer) implements LinkMessage { }
}
