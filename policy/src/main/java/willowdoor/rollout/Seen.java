package willowdoor.rollout;

/**
 * A door as the record has it at one moment.
 *
 * @param version of the process that takes its requests, as far as it is reached; empty where none is
 * @param serves whether it is ready and reached
 * @param lostMs how long no process of it has been reached, or has been there; 0 where one is
 * @param trying the last attempt of a release that a process of it began, 0 for none
 * @param failed the last attempt that came to nothing, 0 for none
 * @param knows up to which command all processes of it that are reached know the record
 * @param held how its permit for its step stands
 * @param taken whether somebody else has it out, or is about to
 * @param waitsFor why its permit waits; empty where it doesn't
 */
public record Seen(String door, String zone, String version, boolean serves, double lostMs, long trying,
    long failed, long knows, Held held, boolean taken, String waitsFor) {

  /** How a step's permit stands. */
  public enum Held { NONE, WAITING, GRANTED, RETURNING }

  boolean reached() {
    return lostMs <= 0;
  }
}
