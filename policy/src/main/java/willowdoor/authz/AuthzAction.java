package willowdoor.authz;

/**
 * An action that {@link AuthzEngine} asks its caller to perform. Each request gets exactly one of
 * {@link Pass}, {@link Deny} and {@link Refuse}, unless it ends before.
 */
public sealed interface AuthzAction {

  /** Why a request proceeds. */
  enum PassReason { NOT_ASKED, ALLOWED, ALLOWED_BEFORE, FAILED_OPEN }

  /** Why there is no decision on a request. */
  enum NoDecisionCause {
    /** No authoriser that was asked decided, and no other may be asked. */
    FAILED,
    /** All authorisers are ejected; none was asked. */
    EJECTED,
    /** All authorisers that are not ejected are at their limit of calls; none was asked. */
    BUSY,
    /** The time for the check is used up. */
    LATE
  }

  /** Call an authoriser. The calls of a request are numbered from 0. */
  record StartCall(String id, int call, int authoriser, double timeoutMs, boolean probe)
      implements AuthzAction { }

  /** Cancel a call; its result is ignored from now on. */
  record CancelCall(String id, int call) implements AuthzAction { }

  /** The request proceeds; grant is what the authoriser sent with its decision to allow it, or null. */
  record Pass(String id, PassReason reason, Object grant) implements AuthzAction { }

  /** The authoriser of this call denied the request. */
  record Deny(String id, int call) implements AuthzAction { }

  /**
   * There is no decision on the request, and it may not proceed without one. No part of it was run.
   *
   * @param holdOffMs time after which a retry may succeed
   */
  record Refuse(String id, NoDecisionCause cause, double holdOffMs) implements AuthzAction { }
}
