package willowdoor.agreement;

import java.util.List;

/** What a command came to; the same at every steward. */
public sealed interface Outcome {

  /** Done, or known already. */
  record Done() implements Outcome { }

  /** Nothing was changed. */
  record Refused(String why) implements Outcome { }

  /** It waits for its turn; one is the next. */
  record Waiting(long permit, int place, String why) implements Outcome { }

  /** It may go out. */
  record Granted(long permit) implements Outcome { }

  /** A release has begun, by this number. */
  record ReleaseStarted(long release) implements Outcome { }

  /**
   * Heartbeats were taken, but not of these processes, which have to join first.
   *
   * @param leaseMs for how long those that were taken count, by the terms that held then
   */
  record HeartbeatsRecorded(List<String> strangers, double leaseMs) implements Outcome {

    /** Keeps a copy. */
    public HeartbeatsRecorded {
      strangers = List.copyOf(strangers);
    }
  }
}
