package willowdoor.agreement;

import willowdoor.agreement.Command.Doing;

/**
 * One process of a door.
 *
 * @param untilMs in the record's time: reached at least until then
 * @param number of its last heartbeat
 * @param seen up to which command it knew the record when it said what it does
 */
public record Life(String door, String incarnation, String zone, double weight, Doing doing, double untilMs,
    long number, long seen) {

  String name() {
    return door + "/" + incarnation;
  }

  boolean serves(double nowMs) {
    return doing == Doing.READY && nowMs < untilMs;
  }

  boolean ended() {
    return doing == Doing.ENDED;
  }

  Life until(double otherMs) {
    return new Life(door, incarnation, zone, weight, doing, otherMs, number, seen);
  }

  Life end() {
    return new Life(door, incarnation, zone, weight, Doing.ENDED, untilMs, number, seen);
  }

  Life says(Command.Beat beat, double until) {
    return new Life(door, incarnation, zone, weight, beat.doing(), until, beat.number(), beat.seen());
  }
}
