package willowdoor.authz;

/** What {@link AuthzEngine} is told. Times are milliseconds on a clock that only moves forward. */
public sealed interface AuthzEvent {

  /** How a call to an authoriser ended. */
  enum Result {
    /** It allows the request. */
    ALLOWED,
    /** It denies it: an answer as good as an allow. */
    DENIED,
    /** No connection, or the call ended before it was written: the authoriser never saw it. */
    NOT_REACHED,
    /** An error, or the stream or the connection broke: it may have seen the call. */
    FAILED,
    /** Nothing came in time. */
    TIMED_OUT,
    /** What came can't be read or breaks the protocol. */
    BAD_ANSWER;

    /** True when the authoriser gave its decision. */
    boolean isDecision() {
      return this == ALLOWED || this == DENIED;
    }
  }

  /**
   * A request to be decided.
   *
   * @param giveUpMs when its client stops waiting
   * @param bodyBytes of its body
   * @param checkDigest what the check would say, as a digest without the request's id; null where nothing of
   * it
   *     may be used again
   */
  record Arrived(String id, String className, String plan, long customer, double giveUpMs, int bodyBytes,
      String checkDigest) implements AuthzEvent { }

  /**
   * A call's one end.
   *
   * @param call its number within the request, from 0
   * @param reusableForMs with an allow: for so long the authoriser permits to use it again; 0 is never
   * @param grant with an allow: what it says beside yes; given back as it came
   */
  record CallEnded(String id, int call, Result result, double reusableForMs, Object grant)
      implements AuthzEvent { }

  /** The request has ended before it was decided: its client left, its time is up, or the process ends. */
  record RequestEnded(String id) implements AuthzEvent { }
}
