package willowdoor.authz;

/** What {@link AuthzEngine} has done. Each request gets one of {@link Pass}, {@link Deny}, {@link Refuse}. */
public sealed interface AuthzAction {

  /** Why a request goes on. */
  enum PassReason { NOT_ASKED, ALLOWED, ALLOWED_BEFORE, FAILED_OPEN }

  /** Why a check has no answer. */
  enum NoDecisionCause {
    /** No authoriser could decide, and none is left that may be asked. */
    FAILED,
    /** All are ejected: none was asked. */
    EJECTED,
    /** All that may be asked have as many calls out as they may have. */
    BUSY,
    /** The time that a check may take is over. */
    LATE
  }

  /** Ask that authoriser; the n-th Ask of a request, from 0, is its call n. */
  record StartCall(String id, int call, int authoriser, double timeoutMs,
      boolean probe) implements AuthzAction { }

  /** Give a call up; nothing that comes of it counts any more. */
  record CancelCall(String id, int call) implements AuthzAction { }

  /** The request goes on; grant is what came with its allow, or null. */
  record Pass(String id, PassReason reason, Object grant) implements AuthzAction { }

  /** The authoriser of that call has denied it. */
  record Deny(String id, int call) implements AuthzAction { }

  /**
   * There is no decision, and without one it may not go on. Nothing of it has run.
   *
   * @param holdOffMs when asking again may help; 0 where that can't be told
   */
  record Refuse(String id, NoDecisionCause cause, double holdOffMs) implements AuthzAction { }
}
