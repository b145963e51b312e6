package willowdoor.agreement;

import willowdoor.agreement.Command.Doing;
import willowdoor.agreement.Command.Report;

/**
 * One process of a door.
 *
 * @param generation 0 until it holds what only one process of the door can hold, then that holding's number
 * @param version of the program, as releases name it
 * @param untilMs in the record's time: reached at least until then
 * @param number of its last heartbeat
 * @param seen up to which command it knew the record when it said what it does
 * @param readyMs in the record's time: since when it has said that it is ready; meaningless where it isn't
 * @param listed which list of backends it went by when it last said something
 */
public record Life(String door, String incarnation, String zone, double weight, long generation,
    String version, Doing doing, double untilMs, long number, long seen, Report report, double readyMs,
    Command.Listed listed) {

  String name() {
    return door + "/" + incarnation;
  }

  boolean serves(double nowMs) {
    return doing == Doing.READY && reached(nowMs);
  }

  boolean reached(double nowMs) {
    return doing != Doing.ENDED && nowMs < untilMs;
  }

  boolean ended() {
    return doing == Doing.ENDED;
  }

  Life until(double otherMs) {
    return new Life(door, incarnation, zone, weight, generation, version, doing, otherMs, number, seen,
        report, readyMs, listed);
  }

  Life holds(long other) {
    return new Life(door, incarnation, zone, weight, other, version, doing, untilMs, number, seen, report,
        readyMs, listed);
  }

  Life end() {
    return new Life(door, incarnation, zone, weight, generation, version, Doing.ENDED, untilMs, number, seen,
        report, readyMs, listed);
  }

  Life says(Command.Beat beat, double nowMs, double until) {
    return new Life(door, incarnation, zone, weight, generation, version, beat.doing(), until, beat.number(),
        beat.seen(), beat.report(), doing == Doing.READY ? readyMs : nowMs, beat.listed());
  }
}
