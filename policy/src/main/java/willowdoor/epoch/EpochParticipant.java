package willowdoor.epoch;

import java.util.ArrayList;
import java.util.List;
import willowdoor.epoch.PolicyChange.Stage;
import willowdoor.epoch.EpochAction.SendHeartbeatSoon;
import willowdoor.epoch.EpochAction.Drop;
import willowdoor.epoch.EpochAction.Prepare;
import willowdoor.epoch.EpochAction.Adopt;
import willowdoor.epoch.EpochAction.WakeAt;
import willowdoor.epoch.EpochEvent.HeartbeatAnswered;
import willowdoor.epoch.EpochEvent.PrepareFailed;
import willowdoor.epoch.EpochEvent.Ready;

/**
 * The door's side of policy changes, as a pure state machine: it tells by which policy the door may decide at
 * a time of the door's monotonic clock. It does no I/O, reads no clock and starts no thread.
 *
 * <p>The door learns the replicated time from answered heartbeats: a heartbeat is committed after it was sent
 * and before its answer arrives. From then on, the door's clock and the maximum drift of both clocks bound
 * the replicated time from both sides. The old policy decides alone only while even the upper bound is before
 * the switch time, and the new policy alone only once even the lower bound has reached it; in between, a
 * request has to pass under both policies. So, in real time, no request is decided by the old policy alone
 * after any door has decided by the new policy alone.
 *
 * <p>A door without contact does not know what was decided. Once the door has accepted the change, the
 * decision may have been made at any time since its last answered heartbeat, so the door uses the old policy
 * for one margin from the sending of that heartbeat. After that the door refuses requests, or admits what
 * passes under both policies, as configured. After the fence time the door refuses requests in any case,
 * because the replicas have stopped waiting for it.
 */
public final class EpochParticipant {

  private final double maxDrift;
  private final boolean serveBothWhenUnsure;
  /** The epoch that the door uses, or {@link ActivePolicy#NONE} if it has none. */
  private long heldEpoch;
  private long readyEpoch = ActivePolicy.NONE;
  private long requestedEpoch = ActivePolicy.NONE;
  private long refusedEpoch;
  private String refusalReason = "";
  private EpochView view;
  private long heartbeatNumber;
  private double sentMs;
  private double answeredMs;
  private ActivePolicy activePolicy = ActivePolicy.refuseAll();

  /**
   * Creates the participant for a process that has received no answer yet.
   *
   * @param maxDrift the maximum rate error of a clock, as a fraction of the elapsed time; from 0 to below 0.5
   * @param serveBothWhenUnsure whether requests that pass under both policies are served while the policy in
   *     force is unknown; otherwise all requests are refused then
   * @param keptEpoch the epoch whose document the door has stored and built, or {@link ActivePolicy#NONE}
   */
  public EpochParticipant(double maxDrift, boolean serveBothWhenUnsure, long keptEpoch) {
    if (!(maxDrift >= 0 && maxDrift < 0.5)) {
      throw new IllegalArgumentException("drift " + maxDrift + " (expected: from 0 to below 0.5)");
    }
    this.maxDrift = maxDrift;
    this.serveBothWhenUnsure = serveBothWhenUnsure;
    heldEpoch = keptEpoch;
  }

  /** The policies that decide a request at {@code nowMs} of the door's monotonic clock. */
  public ActivePolicy policyAt(double nowMs) {
    if (nowMs >= activePolicy.untilMs()) {
      activePolicy = computePolicy(nowMs);
    }
    return activePolicy;
  }

  /** The report that goes out with heartbeats. */
  public EpochMember.Report report() {
    return new EpochMember.Report(Math.max(0, heldEpoch), Math.max(0, readyEpoch), refusedEpoch,
        refusalReason);
  }

  /** Handles an event at the given time of the door's monotonic clock, in milliseconds. */
  public List<EpochAction> handle(double nowMs, EpochEvent event) {
    List<EpochAction> actions = new ArrayList<>();
    EpochMember.Report previousReport = report();
    if (event instanceof HeartbeatAnswered e) {
      onHeartbeatAnswered(nowMs, e);
    } else if (event instanceof Ready e && e.epoch() == requestedEpoch) {
      readyEpoch = requestedEpoch;
    } else if (event instanceof PrepareFailed e && e.epoch() == requestedEpoch) {
      refusedEpoch = requestedEpoch;
      refusalReason = e.why();
    }
    activePolicy = computePolicy(nowMs);
    updateDocuments(nowMs, actions);
    if (!report().equals(previousReport)) {
      actions.add(new SendHeartbeatSoon());
    }
    if (activePolicy.untilMs() < Double.POSITIVE_INFINITY) {
      actions.add(new WakeAt(activePolicy.untilMs()));
    }
    return actions;
  }

  /** Applies an answer, unless a later answer has overtaken it. */
  private void onHeartbeatAnswered(double nowMs, HeartbeatAnswered e) {
    if (e.number() > heartbeatNumber && (view == null || e.view().nowMs() >= view.nowMs())) {
      heartbeatNumber = e.number();
      view = e.view();
      sentMs = e.sentMs();
      answeredMs = nowMs;
    }
  }

  /** Determines which documents have to be prepared, adopted or dropped. */
  private void updateDocuments(double nowMs, List<EpochAction> actions) {
    if (view == null) {
      return;
    }
    if (readyEpoch >= 0 && readyEpoch != view.next() && readyEpoch != view.current()
        && readyEpoch != heldEpoch) {
      actions.add(new Drop(readyEpoch));
      readyEpoch = ActivePolicy.NONE;
    }
    if (readyEpoch >= 0 && (readyEpoch == view.current() || activePolicy.epoch() == readyEpoch)) {
      heldEpoch = readyEpoch;
      readyEpoch = ActivePolicy.NONE;
      actions.add(new Adopt(heldEpoch));
      activePolicy = computePolicy(nowMs);
    }
    long wantedEpoch = view.current() != heldEpoch && view.next() != heldEpoch ? view.current() : view.next();
    if (wantedEpoch > 0 && wantedEpoch != heldEpoch && wantedEpoch != requestedEpoch
        && wantedEpoch != readyEpoch) {
      requestedEpoch = wantedEpoch;
      actions.add(new Prepare(wantedEpoch, wantedEpoch == view.current() ? view.hash() : view.nextHash()));
    }
  }

  /** The smallest ratio of the rates of two clocks within the drift; its inverse is the largest. */
  private double clockRatio() {
    return (1 - maxDrift) / (1 + maxDrift);
  }

  /** The earliest time of the door's clock at which the replicated time may be {@code recordMs}. */
  private double earliestMs(double recordMs) {
    return sentMs + (recordMs - view.nowMs()) * clockRatio();
  }

  /** The time of the door's clock by which the replicated time is {@code recordMs} at the latest. */
  private double latestMs(double recordMs) {
    return answeredMs + (recordMs - view.nowMs()) / clockRatio();
  }

  private ActivePolicy computePolicy(double nowMs) {
    if (view == null) {
      return ActivePolicy.refuseAll();
    }
    double fenceMs = sentMs + view.fenceMs() * clockRatio();
    if (nowMs >= fenceMs) {
      return ActivePolicy.refuseAll();
    }
    boolean noSwitchAhead = view.stage() == null || view.stage() == Stage.HOLDS;
    if (heldEpoch == view.next() && !noSwitchAhead) {
      return ActivePolicy.single(heldEpoch, fenceMs);
    }
    if (heldEpoch != view.current()) {
      return ActivePolicy.refuseAll();
    }
    if (noSwitchAhead) {
      return ActivePolicy.single(heldEpoch, fenceMs);
    }
    if (view.stage() == Stage.PREPARING) {
      return policyWhilePreparing(nowMs, fenceMs);
    }
    return policyOnceDecided(nowMs, fenceMs);
  }

  private ActivePolicy policyWhilePreparing(double nowMs, double fenceMs) {
    if (readyEpoch != view.next()) {
      return ActivePolicy.single(heldEpoch, fenceMs);
    }
    double oldUntilMs = sentMs + view.marginMs() * clockRatio();
    if (nowMs < oldUntilMs) {
      return ActivePolicy.single(heldEpoch, Math.min(oldUntilMs, fenceMs));
    }
    return serveBothWhenUnsure ? new ActivePolicy(heldEpoch, readyEpoch, fenceMs) : ActivePolicy.refuseAll();
  }

  private ActivePolicy policyOnceDecided(double nowMs, double fenceMs) {
    double oldUntilMs = view.stage() == Stage.UNSURE ? Double.NEGATIVE_INFINITY : earliestMs(view.holdMs());
    double newFromMs = latestMs(view.holdMs());
    if (nowMs < oldUntilMs) {
      return ActivePolicy.single(heldEpoch, Math.min(oldUntilMs, fenceMs));
    }
    if (readyEpoch != view.next()) {
      return ActivePolicy.refuseAll();
    }
    return nowMs < newFromMs ? new ActivePolicy(heldEpoch, readyEpoch, Math.min(newFromMs, fenceMs))
        : ActivePolicy.single(readyEpoch, fenceMs);
  }
}
