package willowdoor.life;

/** What an {@link InstanceLifecycle} has its instance do. */
public sealed interface LifecycleAction {

  /** Run the warm-up, off the door's loop, and tell when it has ended. */
  record WarmUp() implements LifecycleAction { }

  /** Take connections from the listening socket. */
  record Accept() implements LifecycleAction { }

  /** Answer {@code GET /up} with 200 from here on, and say to a predecessor that this instance serves. */
  record AnnounceReady() implements LifecycleAction { }

  /** Answer {@code GET /up} with 503, and end each kept connection with its next answer. */
  record BeginDrain() implements LifecycleAction { }

  /** Take back {@link BeginDrain}: the instance serves on as before. */
  record Resume() implements LifecycleAction { }

  /** Leave the listening socket's connections to the successor, without ending the socket. */
  record LeaveSocketToSuccessor() implements LifecycleAction { }

  /** Take what still waits in the accept queue, end the listening socket, and end idle connections. */
  record StopAccepting() implements LifecycleAction { }

  /** Answer each request that is still out as failed, now. */
  record FailPendingRequests() implements LifecycleAction { }

  /** End what is left and let the process go with this exit code. */
  record Close(int exitCode) implements LifecycleAction { }

  /** Tell {@link LifecycleEvent.Woken} at this moment; an earlier wish is void. */
  record WakeAt(double atMs) implements LifecycleAction { }
}
