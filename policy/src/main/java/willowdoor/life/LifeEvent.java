package willowdoor.life;

/** What an instance tells its {@link InstanceLife}. */
public sealed interface LifeEvent {

  /** The listening socket is held: bound here, or taken over from the instance that runs. */
  record Bound() implements LifeEvent { }

  /** The warm-up has ended, whether it ran its whole length or was cut short. */
  record Warmed() implements LifeEvent { }

  /** The process was told to end (SIGTERM, SIGINT). */
  record EndSignal() implements LifeEvent { }

  /** A successor holds the listening socket and takes connections from here on. */
  record SuccessorReady() implements LifeEvent { }

  /** The successor to which the listening socket was handed is gone. */
  record SuccessorLost() implements LifeEvent { }

  /** By what the fleet has agreed on this instance goes out: clients are to go elsewhere. */
  record GoOut() implements LifeEvent { }

  /** It may take clients again. */
  record ComeBack() implements LifeEvent { }

  /** Nothing that was taken is without its answer, and no client's connection is open. */
  record AllAnswered() implements LifeEvent { }

  /** The moment that a {@link LifeAction.WakeAt} named. */
  record Woken() implements LifeEvent { }

  /** Something without which the instance can't go on: it could not bind, or its event loop ended. */
  record Broken(String cause) implements LifeEvent { }
}
