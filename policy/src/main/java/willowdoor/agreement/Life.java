package willowdoor.agreement;

import willowdoor.agreement.Command.Doing;

/**
 * One process of a door.
 *
 * @param generation 0 until it holds what only one process of the door can hold, then that holding's number
 * @param untilMs in the record's time: reached at least until then
 * @param number of its last heartbeat
 * @param seen up to which command it knew the record when it said what it does
 */
public record Life(String door, String incarnation, String zone, double weight, long generation, Doing doing,
    double untilMs, long number, long seen) {

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
    return new Life(door, incarnation, zone, weight, generation, doing, otherMs, number, seen);
  }

  Life holds(long other) {
    return new Life(door, incarnation, zone, weight, other, doing, untilMs, number, seen);
  }

  Life end() {
    return new Life(door, incarnation, zone, weight, generation, Doing.ENDED, untilMs, number, seen);
  }

  Life says(Command.Beat beat, double until) {
    return new Life(door, incarnation, zone, weight, generation, beat.doing(), until, beat.number(),
        beat.seen());
  }
}
