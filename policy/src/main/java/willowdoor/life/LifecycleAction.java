package willowdoor.life;

/** An action that {@link InstanceLifecycle} asks its instance to perform. */
public sealed interface LifecycleAction {

  /** Run the warm-up, off the door's event loop, and report when it has ended. */
  record WarmUp() implements LifecycleAction { }

  /** Accept connections from the listening socket. */
  record Accept() implements LifecycleAction { }

  /** Answer {@code GET /up} with 200 from now on, and tell a predecessor that this instance serves. */
  record AnnounceReady() implements LifecycleAction { }

  /** Answer {@code GET /up} with 503, and close each persistent connection after its next answer. */
  record BeginDrain() implements LifecycleAction { }

  /** Undo {@link BeginDrain}: the instance serves as before. */
  record Resume() implements LifecycleAction { }

  /** Stop accepting, in favour of the successor, without closing the listening socket. */
  record LeaveSocketToSuccessor() implements LifecycleAction { }

  /** Accept what waits in the accept queue, close the listening socket, and close idle connections. */
  record StopAccepting() implements LifecycleAction { }

  /** Answer each pending request as failed, now. */
  record FailPendingRequests() implements LifecycleAction { }

  /** Close everything that is left and let the process exit with this code. */
  record Close(int exitCode) implements LifecycleAction { }

  /** Send {@link LifecycleEvent.Woken} at this time; replaces any earlier {@code WakeAt}. */
  record WakeAt(double atMs) implements LifecycleAction { }
}
