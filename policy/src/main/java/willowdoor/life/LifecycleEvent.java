package willowdoor.life;

/** An event that an instance reports to its {@link InstanceLifecycle}. */
public sealed interface LifecycleEvent {

  /** This instance has the listening socket: bound here, or taken over from the running instance. */
  record SocketBound() implements LifecycleEvent { }

  /** The warm-up has ended, completely or cut short. */
  record WarmUpEnded() implements LifecycleEvent { }

  /** The process was told to end (SIGTERM, SIGINT). */
  record EndSignal() implements LifecycleEvent { }

  /** A successor has the listening socket and accepts connections from now on. */
  record SuccessorReady() implements LifecycleEvent { }

  /** The successor that the listening socket was handed to has ended. */
  record SuccessorLost() implements LifecycleEvent { }

  /** The fleet has decided to take this instance out of service: clients are to use other doors. */
  record OutOfService() implements LifecycleEvent { }

  /** The fleet has put this instance back in service: it may take clients again. */
  record BackInService() implements LifecycleEvent { }

  /** Every accepted request is answered, and no client's connection is open. */
  record AllAnswered() implements LifecycleEvent { }

  /**
   * The time of a {@link LifecycleAction.WakeAt} has come.
   *
   * @param answersUnderWay whether an answer is being passed on, or a client has not taken all of one
   */
  record Woken(boolean answersUnderWay) implements LifecycleEvent { }

  /** The instance can't continue: it could not bind its socket, or its event loop ended. */
  record FatalError(String cause) implements LifecycleEvent { }
}
