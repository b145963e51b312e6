package willowdoor.policy;

/**
 * Lifecycle of one backend's answer, from its first byte to its last: the one place that tells whether an
 * answer still makes progress or has stalled. Whoever would close the connection of an answer, for whatever
 * reason, asks here first; only a stalled answer is given up, and a short one that is late.
 *
 * <p>Where an answer tells no length, nobody knows beforehand whether it will be long. The first bytes of a
 * long answer are due in time, and its last byte whenever it comes; so an answer without a length that still
 * makes progress at the end of its time is passed on. From then on one moment decides: the latest at which
 * its client may get the last byte of a short answer. Before it the answer may be long, and no silence proves
 * a fault, as backends may pause for seconds. An answer that is still short at that moment is a short one
 * that is late, however often another piece comes, and it is given up so that its client can tell. One that
 * began so late that nothing can be told yet goes on while its body comes at the pace of a long answer.
 *
 * <p>An answer that is held, so that another attempt may still replace it, is given up after some silence:
 * its backend may have stalled. One that cannot be replaced, that is probably long, or whose backend has made
 * a pause before, is passed on instead.
 *
 * <p>All times are milliseconds on the clock of the caller, which passes them in.
 */
public final class AnswerLifecycle {

  /** State of an answer. A stalled or late answer is over as a whole one is. */
  public enum State { NONE, HEAD, PROGRESS, PASSED_ON, WHOLE, STALLED, LATE }

  /** A body of more bytes is long: it is passed on as it comes. */
  public static final int MAX_SHORT_BYTES = 64 * 1024;
  /** Silence after which a long answer that is passed on has stalled; so long may a client take nothing. */
  public static final double MAX_SILENCE_MS = 15_000;

  /** Silence after which an answer has stalled that cannot be long, or of which no whole head has come. */
  private static final double SHORT_SILENCE_MS = 700;
  /** The same for a held answer without a length, of which the head, or a part of the body, has come. */
  private static final double HEAD_SILENCE_MS = 1_500;
  static final double BODY_SILENCE_MS = 1_000;
  /** A head alone is waited for for longer while so much time is left for another attempt. */
  private static final double RETRY_TIME_MS = 1_000;
  /** A backend that gives nothing for so long between two parts is pausing; longer than a loop is held up. */
  private static final double PAUSE_MS = 200;
  /** An answer whose body comes at this pace is on the way to be long: 64 kB/s, with a margin. */
  private static final double LONG_BYTES_PER_MS = 40;
  /** Without a length, an answer of which more bytes have come is probably long. */
  private static final int PROBABLY_LONG_BYTES = 16 * 1024;
  /** A final answer may come so long after the deadline of its attempt. */
  private static final double MAX_LATE_MS = 450;
  /** Age at which an answer without a length is passed on, so as not to delay it. */
  private static final double MAX_HOLD_MS = 1_000;
  /** An answer is passed on at that age only if something came so shortly before: it may have stalled. */
  private static final double RECENT_MS = 400;

  private final double deadlineMs;
  private final boolean replaceable;
  private State state = State.NONE;
  private boolean hasLength;
  private boolean passable;
  private long bodyBytes;
  private long announcedBytes;
  private double headAtMs;
  /** When the first part of the body came. */
  private double bodyAtMs;
  /** The backend has given a part of the body, nothing for a while, and another part. */
  private boolean hasPaused;
  /** When the backend gave something last, or its client took something last while it is held back. */
  private double progressAtMs;
  private boolean heldBack;
  /** How long the backend was not read, as the client took no more, in milliseconds. */
  private double heldBackMs;

  /**
   * An answer of which nothing was read yet.
   *
   * @param deadlineMs the end of the attempt's time
   * @param replaceable whether another attempt may replace the answer if it stalls
   */
  public AnswerLifecycle(double deadlineMs, boolean replaceable) {
    this.deadlineMs = deadlineMs;
    this.replaceable = replaceable;
  }

  /** The first bytes of a head have come. */
  public void onFirstBytes(double nowMs) {
    progressAtMs = nowMs;
  }

  /** An informational answer was complete; the final one follows. */
  public void onInformational(double nowMs) {
    state = State.NONE;
    progressAtMs = nowMs;
  }

  /**
   * The head of the answer has come.
   *
   * @param lengthBytes length of the body that the head tells; negative if it tells none
   * @param isPassable whether the answer may be passed on before it is complete
   */
  public void onHead(double nowMs, long lengthBytes, boolean isPassable) {
    state = State.HEAD;
    hasLength = lengthBytes >= 0;
    announcedBytes = lengthBytes;
    passable = isPassable;
    headAtMs = nowMs;
    progressAtMs = nowMs;
  }

  /** A part of the body has come. */
  public void onBody(double nowMs, int bytes) {
    bodyAtMs = bodyBytes == 0 ? nowMs : bodyAtMs;
    hasPaused |= state == State.PROGRESS && nowMs - progressAtMs >= PAUSE_MS;
    state = state == State.HEAD ? State.PROGRESS : state;
    bodyBytes += bytes;
    progressAtMs = nowMs;
  }

  /** The answer is being passed on from now on. */
  public void onPassedOn() {
    state = State.PASSED_ON;
  }

  /** The client takes no more for now, so that the backend is not read; or it takes again. */
  public void setHeldBack(double nowMs, boolean isHeldBack) {
    if (heldBack != isHeldBack) {
      heldBack = isHeldBack;
      heldBackMs += isHeldBack ? -nowMs : nowMs;
      progressAtMs = nowMs;
    }
  }

  /** The client has taken a piece. */
  public void onClientProgress(double nowMs) {
    if (heldBack) {
      progressAtMs = nowMs;
    }
  }

  /** The answer has ended as it should. */
  public void onWhole() {
    state = State.WHOLE;
  }

  /** The state at this moment. */
  public State state(double nowMs) {
    if (!isGivenUp(nowMs)) {
      return state;
    }
    return mayBeLate() ? State.LATE : State.STALLED;
  }

  /** Whether the answer has stalled, or is late. */
  public boolean isGivenUp(double nowMs) {
    return state != State.WHOLE && nowMs >= givenUpAtMs();
  }

  /** Whether the answer has begun, is not complete, and makes progress. */
  public boolean isUnderWay(double nowMs) {
    State current = state(nowMs);
    return current == State.HEAD || current == State.PROGRESS || current == State.PASSED_ON;
  }

  /** Whether the answer may be passed on although it is not complete: at the end of its time. */
  public boolean mayBePassedOn(double nowMs) {
    State current = state(nowMs);
    return passable && (!hasLength || isLong()) && (current == State.HEAD || current == State.PROGRESS);
  }

  /** Whether the answer has been held for so long that its client should get what there is. */
  public boolean isDueToPassOn(double nowMs) {
    if (state != State.PROGRESS || !mayBePassedOn(nowMs)) {
      return false;
    }
    return nowMs >= headAtMs + MAX_HOLD_MS && nowMs <= progressAtMs + RECENT_MS
        || isKeptThoughSilent() && nowMs >= progressAtMs + BODY_SILENCE_MS;
  }

  /** Whether the answer is held and not given up for its silence. */
  private boolean isKeptThoughSilent() {
    return passable && !hasLength && (state == State.HEAD || state == State.PROGRESS)
        && (!replaceable || hasPaused || bodyBytes > PROBABLY_LONG_BYTES);
  }

  /** When {@link #state} or {@link #isDueToPassOn} is to be asked again, unless something comes. */
  public double nextCheckMs(double nowMs) {
    double agedMs = headAtMs + MAX_HOLD_MS;
    double dueMs = nowMs < agedMs ? agedMs
        : isKeptThoughSilent() ? progressAtMs + BODY_SILENCE_MS : Double.POSITIVE_INFINITY;
    boolean becomesDue = state == State.PROGRESS && mayBePassedOn(nowMs) && nowMs < dueMs;
    return becomesDue ? Math.min(dueMs, givenUpAtMs()) : givenUpAtMs();
  }

  /** When the answer is given up unless something comes until then. */
  public double givenUpAtMs() {
    return mayBeLate() ? lateAtMs() : progressAtMs + maxSilenceMs();
  }

  /** Whether the answer is passed on, and is short as far as is known. */
  private boolean mayBeLate() {
    return state == State.PASSED_ON && !isLong() && !heldBack;
  }

  /**
   * When the answer is late: at the latest moment for the last byte of a short one, unless its body is only
   * about to begin, or comes at the pace of a long one. Time in which nothing was read is added.
   */
  private double lateAtMs() {
    double onPaceUntilMs = bodyBytes == 0 ? headAtMs + BODY_SILENCE_MS
        : bodyAtMs + bodyBytes / LONG_BYTES_PER_MS;
    return Math.max(deadlineMs + MAX_LATE_MS + heldBackMs, onPaceUntilMs);
  }

  private double maxSilenceMs() {
    if (state == State.PASSED_ON) {
      return MAX_SILENCE_MS;
    }
    if (isKeptThoughSilent()) {
      return Double.POSITIVE_INFINITY;
    }
    if (state == State.NONE || hasLength) {
      return SHORT_SILENCE_MS;
    }
    return state == State.HEAD ? Math.max(HEAD_SILENCE_MS, deadlineMs - RETRY_TIME_MS - progressAtMs)
        : BODY_SILENCE_MS;
  }

  private boolean isLong() {
    return announcedBytes > MAX_SHORT_BYTES || bodyBytes > MAX_SHORT_BYTES;
  }
}
