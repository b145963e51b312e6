package willowdoor.agreement;

import java.util.List;

/** The result of applying a command; the same at every replica. */
public sealed interface Outcome {

  /** The command was carried out, or had been carried out before. */
  record Done() implements Outcome { }

  /** The command was refused and changed nothing that it asks for. */
  record Refused(String why) implements Outcome { }

  /** The permit waits. A {@code place} of 1 means that the permit is the next of its kind. */
  record Waiting(long permit, int place, String why) implements Outcome { }

  /** The subject may go out of service. */
  record Granted(long permit) implements Outcome { }

  /** A release has begun and has this id. */
  record ReleaseStarted(long release) implements Outcome { }

  /**
   * The heartbeats were applied, except those of unknown processes.
   *
   * @param strangers the unknown processes, as door/incarnation; they have to join first
   * @param leaseMs for how many milliseconds the applied heartbeats count, by the settings then in force
   */
  record HeartbeatsRecorded(List<String> strangers, double leaseMs) implements Outcome {

    /** Makes a defensive copy. */
    public HeartbeatsRecorded {
      strangers = List.copyOf(strangers);
    }
  }
}
