package willowdoor.agreement;

import java.util.List;
import java.util.Set;
import willowdoor.rollout.Plan;
import willowdoor.rollout.Tally;

/**
 * A log entry of the replicated state machine. Each command carries the leader's monotonic time in
 * milliseconds, which is comparable only within that leader's term; the first command of a term is a
 * {@link LeaderElected}.
 */
public sealed interface Command {

  /** The leader's monotonic time in milliseconds when it accepted the command. */
  double atMs();

  /**
   * This command with the time at which the leader accepted it. Commands that only leaders create keep their
   * time.
   */
  default Command withLeaderTime(double leaderMs) {
    return this;
  }

  /**
   * The first command of a term: the new leader's clock counts from here, and every lease that has not
   * expired starts again with its full length.
   */
  record LeaderElected(double atMs) implements Command { }

  /** Replaces the settings. Subjects that are out already stay out. */
  record Configure(double atMs, FleetSettings terms) implements Command {
    @Override
    public Command withLeaderTime(double leaderMs) {
      return new Configure(leaderMs, terms);
    }
  }

  /**
   * A process of a door announces itself.
   *
   * @param door the name that all processes of the door share
   * @param incarnation the unique name of this process
   * @param weight the door's share of the traffic, relative to the weights of the other doors
   * @param generation the generation of the door's exclusive lock that this process holds, counting the
   *     processes that have held the lock; 0 if it does not hold the lock. Processes of lower generations
   *     above 0 have ended. A process announces itself again once it holds the lock
   * @param version the version of the program, as releases name it
   */
  record Join(double atMs, String door, String incarnation, String zone, double weight, long generation,
      String version) implements Command {
    @Override
    public Command withLeaderTime(double leaderMs) {
      return new Join(leaderMs, door, incarnation, zone, weight, generation, version);
    }
  }

  /** A batch of heartbeats. */
  record Heartbeats(double atMs, List<Heartbeat> beats) implements Command {

    /** Makes a defensive copy. */
    public Heartbeats {
      beats = List.copyOf(beats);
    }

    @Override
    public Command withLeaderTime(double leaderMs) {
      return new Heartbeats(leaderMs, beats);
    }
  }

  /**
   * A heartbeat of one process of a door.
   *
   * @param number assigned by the process in ascending order from 1
   * @param seen the index of the last command that the process knew of when it sent the heartbeat
   * @param left the ids of the permits of backends to which this process no longer sends
   * @param report the progress and the request counts of the process
   * @param listed the list of backends that the process uses
   */
  record Heartbeat(String door, String incarnation, Activity doing, long number, long seen,
      Set<Long> left, Report report, BackendListId listed) {

    /** A heartbeat of a process that has received no list of backends. */
    public Heartbeat(String door, String incarnation, Activity doing, long number, long seen, Set<Long> left,
        Report report) {
      this(door, incarnation, doing, number, seen, left, report, BackendListId.NONE);
    }

    /** Makes a defensive copy. */
    public Heartbeat {
      left = Set.copyOf(left);
    }
  }

  /**
   * The progress and the request counts that a process of a door reports.
   *
   * @param trying the last attempt of a release that the process began to carry out, or 0
   * @param failed the last of these attempts that failed, or 0
   * @param tally the counts of the answers that the process has given since it started
   */
  record Report(long trying, long failed, Tally tally) {

    /** The report of a process that has just started. */
    public static final Report NONE = new Report(0, 0, Tally.NONE);
  }

  /** The activity of a process of a door. */
  enum Activity { STARTING, READY, DRAINING, EMPTY, ENDED }

  /** A process of a door reports that it has ended. */
  record Leave(double atMs, String door, String incarnation) implements Command {
    @Override
    public Command withLeaderTime(double leaderMs) {
      return new Leave(leaderMs, door, incarnation);
    }
  }

  /**
   * An operator confirms that a door, or one of its processes given as door/incarnation, no longer runs and
   * sends no requests. For a backend that went out and is no longer listed, given as backend/name, the
   * operator confirms that it is not expected back.
   *
   * @param request the requester's own name of the request; a request that arrives twice is carried out once
   */
  record Forget(double atMs, String request, String door, String by) implements Command {

    static final String BACKEND_PREFIX = "backend/";

    @Override
    public Command withLeaderTime(double leaderMs) {
      return new Forget(leaderMs, request, door, by);
    }
  }

  /**
   * The complete list of backends, as a door has received it from service discovery.
   *
   * @param version the version of the list; a list that is older than the one of a reachable door comes from
   *     a door that lags behind
   */
  record UpdateBackends(double atMs, long version, List<Backend> backends) implements Command {

    /** Makes a defensive copy. */
    public UpdateBackends {
      backends = List.copyOf(backends);
    }

    @Override
    public Command withLeaderTime(double leaderMs) {
      return new UpdateBackends(leaderMs, version, backends);
    }
  }

  /**
   * Identifies a list of backends by its version and its contents, because doors may see different contents
   * under the same version.
   *
   * @param hash the hash of the backends, independent of their order
   */
  record BackendListId(long version, int hash) {

    /** No list has been received. */
    public static final BackendListId NONE = new BackendListId(-1, 0);

    /** The identity of a list. */
    public static BackendListId of(long version, List<Backend> backends) {
      int hash = 0;
      for (Backend x : backends) {
        hash += x.stableHash();
      }
      return new BackendListId(version, hash);
    }
  }

  /**
   * A backend of the list.
   *
   * @param serving whether the backend is neither draining nor in its slow start
   * @param startedMs when the backend started, in milliseconds of service discovery's clock; 0 if that was
   *     long ago. A negative value means that the backend is no longer listed: its amount is the replicated
   *     time in milliseconds, at least 1, at which the backend disappeared from the list
   */
  record Backend(String name, String zone, double weight, boolean serving, double startedMs) {

    Backend asDelisted(double nowMs) {
      return isListed() ? new Backend(name, zone, weight, false, -Math.max(1, nowMs)) : this;
    }

    boolean isListed() {
      return startedMs >= 0;
    }

    /** A hash that is the same in every process; the language does not specify the hash code of a record. */
    int stableHash() {
      return (((name.hashCode() * 31 + zone.hashCode()) * 31 + Double.hashCode(weight)) * 31
          + Boolean.hashCode(serving)) * 31 + Double.hashCode(startedMs);
    }
  }

  /**
   * Asks for a permit.
   *
   * @param request the requester's own name of the request; a repeated request does not ask for a second
   *     permit
   * @param by who asks
   * @param force whether the permit is granted even beyond the budget
   */
  record RequestPermit(double atMs, String request, Subject subject, String by, String reason, boolean force)
      implements Command {
    @Override
    public Command withLeaderTime(double leaderMs) {
      return new RequestPermit(leaderMs, request, subject, by, reason, force);
    }
  }

  /**
   * Returns a permit: the subject comes back into service, or no longer has to go out.
   *
   * @param permit the id of the returned permit, so that a late repeat of the command does not end a later
   *     permit
   */
  record ReturnPermit(double atMs, Subject subject, long permit, String by) implements Command {
    @Override
    public Command withLeaderTime(double leaderMs) {
      return new ReturnPermit(leaderMs, subject, permit, by);
    }
  }

  /**
   * Begins a release of another version. Only one release runs at a time.
   *
   * @param request the requester's own name of the request; a repeated request does not begin a second
   *     release
   */
  record StartRelease(double atMs, String request, Plan plan, String by) implements Command {
    @Override
    public Command withLeaderTime(double leaderMs) {
      return new StartRelease(leaderMs, request, plan, by);
    }
  }

  /** An operator's control over a release. */
  enum Steering { PAUSE, RESUME, HALT, BACK }

  /**
   * Pauses, resumes, halts or rolls back a release.
   *
   * @param request the requester's own name of the request; a request that arrives twice is carried out once
   */
  record SteerRelease(double atMs, String request, long release, Steering steering, String by)
      implements Command {
    @Override
    public Command withLeaderTime(double leaderMs) {
      return new SteerRelease(leaderMs, request, release, steering, by);
    }
  }

  /** Advances the replicated time. */
  record Tick(double atMs) implements Command { }
}
