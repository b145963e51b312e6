package willowdoor.agreement;

import willowdoor.agreement.Command.Activity;
import willowdoor.agreement.Command.Report;

/**
 * The replicated state of one process of a door.
 *
 * @param generation the generation of the door's exclusive lock that this process has held, or 0 if it never
 *     held the lock
 * @param version the version of the program, as releases name it
 * @param untilMs the replicated time in milliseconds at which the process's lease expires
 * @param number the number of the last heartbeat
 * @param seen the index of the last command that the process knew of when it sent that heartbeat
 * @param readyMs the replicated time in milliseconds since when the process has reported that it is ready;
 *     meaningless if it is not ready
 * @param listed the list of backends that the process used when it sent that heartbeat
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
