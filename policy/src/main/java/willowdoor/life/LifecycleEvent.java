package willowdoor.life;

/** What an instance tells its {@link InstanceLifecycle}. */
public sealed interface LifecycleEvent {

  /** The listening socket is held: bound here, or taken over from the instance that runs. */
  record SocketBound() implements LifecycleEvent { }

  /** The warm-up has ended, whether it ran its whole length or was cut short. */
  record WarmUpEnded() implements LifecycleEvent { }

  /** The process was told to end (SIGTERM, SIGINT). */
  record EndSignal() implements LifecycleEvent { }

  /** A successor holds the listening socket and takes connections from here on. */
  record SuccessorReady() implements LifecycleEvent { }

  /** The successor to which the listening socket was handed is gone. */
  record SuccessorLost() implements LifecycleEvent { }

  /** By what the fleet has agreed on this instance goes out: clients are to go elsewhere. */
  record OutOfService() implements LifecycleEvent { }

  /** It may take clients again. */
  record BackInService() implements LifecycleEvent { }

  /** Nothing that was taken is without its answer, and no client's connection is open. */
  record AllAnswered() implements LifecycleEvent { }

  /** The moment that a {@link LifecycleAction.WakeAt} named. */
  record Woken() implements LifecycleEvent { }

  /** Something without which the instance can't go on: it could not bind, or its event loop ended. */
  record FatalError(String cause) implements LifecycleEvent { }
}
