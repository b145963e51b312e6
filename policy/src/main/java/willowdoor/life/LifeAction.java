package willowdoor.life;

/** What an {@link InstanceLife} has its instance do. */
public sealed interface LifeAction {

  /** Run the warm-up, off the door's loop, and tell when it has ended. */
  record WarmUp() implements LifeAction { }

  /** Take connections from the listening socket. */
  record Accept() implements LifeAction { }

  /** Answer {@code GET /up} with 200 from here on, and say to a predecessor that this instance serves. */
  record BeFound() implements LifeAction { }

  /** Answer {@code GET /up} with 503, and end each kept connection with its next answer. */
  record BeginDrain() implements LifeAction { }

  /** Take back {@link BeginDrain}: the instance serves on as before. */
  record Resume() implements LifeAction { }

  /** Leave the listening socket's connections to the successor, without ending the socket. */
  record LeaveListening() implements LifeAction { }

  /** Take what still waits in the accept queue, end the listening socket, and end idle connections. */
  record StopAccepting() implements LifeAction { }

  /** Answer each request that is still out as failed, now. */
  record FailAll() implements LifeAction { }

  /** End what is left and let the process go with this exit code. */
  record Close(int exitCode) implements LifeAction { }

  /** Tell {@link LifeEvent.Woken} at this moment; an earlier wish is void. */
  record WakeAt(double atMs) implements LifeAction { }
}
