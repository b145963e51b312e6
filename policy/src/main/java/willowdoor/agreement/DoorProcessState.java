package willowdoor.agreement;

import willowdoor.agreement.Command.Activity;
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
public record DoorProcessState(String door, String incarnation, String zone, double weight, long generation,
    String version, Activity doing, double untilMs, long number, long seen, Report report, double readyMs,
    Command.BackendListId listed) {

  String processName() {
    return door + "/" + incarnation;
  }

  boolean isServing(double nowMs) {
    return doing == Activity.READY && isReached(nowMs);
  }

  boolean isReached(double nowMs) {
    return doing != Activity.ENDED && nowMs < untilMs;
  }

  boolean hasEnded() {
    return doing == Activity.ENDED;
  }

  DoorProcessState withLeaseUntil(double newUntilMs) {
    return new DoorProcessState(door, incarnation, zone, weight, generation, version, doing, newUntilMs,
        number, seen,
        report, readyMs, listed);
  }

  DoorProcessState withGeneration(long newGeneration) {
    return new DoorProcessState(door, incarnation, zone, weight, newGeneration, version, doing, untilMs,
        number, seen, report,
        readyMs, listed);
  }

  DoorProcessState asEnded() {
    return new DoorProcessState(door, incarnation, zone, weight, generation, version, Activity.ENDED, untilMs,
        number, seen,
        report, readyMs, listed);
  }

  DoorProcessState withHeartbeat(Command.Heartbeat heartbeat, double nowMs, double newUntilMs) {
    return new DoorProcessState(door, incarnation, zone, weight, generation, version, heartbeat.doing(),
        newUntilMs, heartbeat.number(),
        heartbeat.seen(), heartbeat.report(), doing == Activity.READY ? readyMs : nowMs, heartbeat.listed());
  }
}
