package willowdoor.agreement;

import java.util.List;
import java.util.Set;
import willowdoor.rollout.Plan;
import willowdoor.rollout.Tally;

/**
 * An entry of the agreed log. Each carries the leader's monotonic time in milliseconds, which means something
 * within the leader's own term only; the first of a term is a {@link LeaderElected}.
 */
public sealed interface Command {

  /** The leader's time when it took the command. */
  double atMs();

  /** The same, taken by a leader at that time; what only leaders make stays as it is. */
  default Command withLeaderTime(double leaderMs) {
    return this;
  }

  /** The first of a term, as the leader changed: its clock counts from here, and every lease anew. */
  record LeaderElected(double atMs) implements Command { }

  /** Other terms; what is out already stays out. */
  record Configure(double atMs, FleetSettings terms) implements Command {
    @Override
    public Command withLeaderTime(double leaderMs) {
      return new Configure(leaderMs, terms);
    }
  }

  /**
   * A process of a door begins.
   *
   * @param door the name that all processes of this door have
   * @param incarnation which process it is, unlike any other
   * @param weight its part of the traffic, beside the other doors'
   * @param generation 0, or how many processes have held what only one process of the door can hold, this one
   *     the last: those that held it before have ended. Told again once it holds it
   * @param version of the program, as releases name it
   */
  record Join(double atMs, String door, String incarnation, String zone, double weight, long generation,
      String version) implements Command {
    @Override
    public Command withLeaderTime(double leaderMs) {
      return new Join(leaderMs, door, incarnation, zone, weight, generation, version);
    }
  }

  /** Heartbeats that came together. */
  record Heartbeats(double atMs, List<Heartbeat> beats) implements Command {

    /** Keeps a copy. */
    public Heartbeats {
      beats = List.copyOf(beats);
    }

    @Override
    public Command withLeaderTime(double leaderMs) {
      return new Heartbeats(leaderMs, beats);
    }
  }

  /**
   * A heartbeat.
   *
   * @param number counted up by the process, from 1
   * @param seen up to which command this process knew the record when it said this
   * @param left permits of backends to which this process sends nothing more
   * @param report what it has done by itself
   * @param listed which list of backends it goes by
   */
  record Heartbeat(String door, String incarnation, Activity doing, long number, long seen,
      Set<Long> left, Report report, BackendListId listed) {

    /** One that has heard no list. */
    public Heartbeat(String door, String incarnation, Activity doing, long number, long seen, Set<Long> left,
        Report report) {
      this(door, incarnation, doing, number, seen, left, report, BackendListId.NONE);
    }

    /** Keeps a copy. */
    public Heartbeat {
      left = Set.copyOf(left);
    }
  }

  /**
   * What a process of a door says of its work.
   *
   * @param trying the last attempt of a release that it began to follow, 0 for none
   * @param failed the last of these that came to nothing, 0 for none
   */
  record Report(long trying, long failed, Tally tally) {

    /** Nothing done yet. */
    public static final Report NONE = new Report(0, 0, Tally.NONE);
  }

  /** What a process of a door does. */
  enum Activity { STARTING, READY, DRAINING, EMPTY, ENDED }

  /** A process has ended, and says so itself. */
  record Leave(double atMs, String door, String incarnation) implements Command {
    @Override
    public Command withLeaderTime(double leaderMs) {
      return new Leave(leaderMs, door, incarnation);
    }
  }

  /**
   * An operator vouches that a door, or one process of it as door/incarnation, is no more: it sends nothing.
   * Of a backend that went out and is listed no more, as backend/name: it is not expected back.
   *
   * @param request the asker's own name of this request: heard twice, it is done once
   */
  record Forget(double atMs, String request, String door, String by) implements Command {

    static final String BACKEND_PREFIX = "backend/";

    @Override
    public Command withLeaderTime(double leaderMs) {
      return new Forget(leaderMs, request, door, by);
    }
  }

  /**
   * The list of backends, whole, as some door has heard it.
   *
   * @param version the list's own; an older one than a door goes by that is reached is of one that is behind
   */
  record UpdateBackends(double atMs, long version, List<Backend> backends) implements Command {

    /** Keeps a copy. */
    public UpdateBackends {
      backends = List.copyOf(backends);
    }

    @Override
    public Command withLeaderTime(double leaderMs) {
      return new UpdateBackends(leaderMs, version, backends);
    }
  }

  /**
   * Which list of backends: by its version, and by what it says, as doors may come to see one list
   * differently.
   *
   * @param hash of its backends, the same for the same ones in any order
   */
  record BackendListId(long version, int hash) {

    /** None was heard. */
    public static final BackendListId NONE = new BackendListId(-1, 0);

    /** That list. */
    public static BackendListId of(long version, List<Backend> backends) {
      int hash = 0;
      for (Backend x : backends) {
        hash += x.stableHash();
      }
      return new BackendListId(version, hash);
    }
  }

  /**
   * A backend as listed.
   *
   * @param serving whether it is neither told as draining nor cold after a start
   * @param startedMs by discovery's clock when it started; 0 for long ago; below 0 it is listed no more,
   *     since that time of the record's
   */
  record Backend(String name, String zone, double weight, boolean serving, double startedMs) {

    Backend asDelisted(double nowMs) {
      return isListed() ? new Backend(name, zone, weight, false, -Math.max(1, nowMs)) : this;
    }

    boolean isListed() {
      return startedMs >= 0;
    }

    /** The hash of a record is left open by the language; this one is the same everywhere. */
    int stableHash() {
      return (((name.hashCode() * 31 + zone.hashCode()) * 31 + Double.hashCode(weight)) * 31
          + Boolean.hashCode(serving)) * 31 + Double.hashCode(startedMs);
    }
  }

  /**
   * Asks for a permit.
   *
   * @param request the asker's own name of this request: asked twice, it is one
   * @param by who asks
   * @param force whether it is given over the budget
   */
  record RequestPermit(double atMs, String request, Subject subject, String by, String reason, boolean force)
      implements Command {
    @Override
    public Command withLeaderTime(double leaderMs) {
      return new RequestPermit(leaderMs, request, subject, by, reason, force);
    }
  }

  /**
   * What was taken out goes back, or is not wanted out any more.
   *
   * @param permit the one that is given back: heard late once more, it ends no other
   */
  record ReturnPermit(double atMs, Subject subject, long permit, String by) implements Command {
    @Override
    public Command withLeaderTime(double leaderMs) {
      return new ReturnPermit(leaderMs, subject, permit, by);
    }
  }

  /**
   * Begins a release of another version; one at a time.
   *
   * @param request the asker's own name of this request: heard twice, it is one
   */
  record StartRelease(double atMs, String request, Plan plan, String by) implements Command {
    @Override
    public Command withLeaderTime(double leaderMs) {
      return new StartRelease(leaderMs, request, plan, by);
    }
  }

  /** What an operator does with a release. */
  enum Steering { PAUSE, RESUME, HALT, BACK }

  /**
   * Has a release stop, go on or go back.
   *
   * @param request the asker's own name of this request: heard twice, it is done once
   */
  record SteerRelease(double atMs, String request, long release, Steering steering, String by)
      implements Command {
    @Override
    public Command withLeaderTime(double leaderMs) {
      return new SteerRelease(leaderMs, request, release, steering, by);
    }
  }

  /** Time passes. */
  record Tick(double atMs) implements Command { }
}
