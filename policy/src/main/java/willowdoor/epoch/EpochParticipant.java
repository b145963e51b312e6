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
 * A door's side of changes of policy: by which policy it may decide at a moment of its own clock. It does no
 * I/O, reads no clock and starts no thread.
 *
 * <p>What the door knows of the record's time comes with an answered heartbeat: it was agreed on after the
 * heartbeat went and before its answer came. From there on the record's time is bounded from both sides by
 * the door's clock and the drift of both. The old policy decides alone only while even the upper bound is
 * before the moment of the change, the new one only once even the lower bound is past it; in between a
 * request has to pass under both. So no request is decided by the old one after any door has decided by the
 * new one, in true time.
 *
 * <p>A door that hears nothing doesn't know what was decided. Once it has said yes, a decision may have come
 * at any moment since its last answered heartbeat, so it goes by the old policy for one margin from there.
 * After that it refuses, or lets pass what passes under both, as it is set up. After a fence it refuses in
 * any case: the record has stopped waiting for it.
 */
public final class EpochParticipant {

  private final double maxDrift;
  private final boolean serveBothWhenUnsure;
  /** Which epoch it goes by; {@link ActivePolicy#NONE} before it was told. */
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
   * Of a process that has heard nothing yet.
   *
   * @param maxDrift the most that a clock runs wrong, as a part of the time that passes
   * @param serveBothWhenUnsure whether what passes under both policies is served while it isn't known which
   * one
   *     holds; otherwise everything is refused then
   * @param keptEpoch the epoch whose document it has kept and built, or {@link ActivePolicy#NONE}
   */
  public EpochParticipant(double maxDrift, boolean serveBothWhenUnsure, long keptEpoch) {
    if (!(maxDrift >= 0 && maxDrift < 0.5)) {
      throw new IllegalArgumentException("drift " + maxDrift + " (expected: 0 to 0.5)");
    }
    this.maxDrift = maxDrift;
    this.serveBothWhenUnsure = serveBothWhenUnsure;
    heldEpoch = keptEpoch;
  }

  /** By which policies a request that is taken now is decided. */
  public ActivePolicy policyAt(double nowMs) {
    if (nowMs >= activePolicy.untilMs()) {
      activePolicy = computePolicy(nowMs);
    }
    return activePolicy;
  }

  /** What is said with heartbeats. */
  public EpochMember.Report report() {
    return new EpochMember
        .Report(Math.max(0, heldEpoch), Math.max(0, readyEpoch), refusedEpoch, refusalReason);
  }

  /** Takes an event at its time. */
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

  /** One that another has overtaken tells nothing new. */
  private void onHeartbeatAnswered(double nowMs, HeartbeatAnswered e) {
    if (e.number() > heartbeatNumber && (view == null || e.view().nowMs() >= view.nowMs())) {
      heartbeatNumber = e.number();
      view = e.view();
      sentMs = e.sentMs();
      answeredMs = nowMs;
    }
  }

  /** What is to be prepared, kept or dropped by what it knows now. */
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

  private double clockRatio() {
    return (1 - maxDrift) / (1 + maxDrift);
  }

  /** By the door's clock, when the record's time may be this at the earliest. */
  private double earliestMs(double recordMs) {
    return sentMs + (recordMs - view.nowMs()) * clockRatio();
  }

  /** By the door's clock, when the record's time is this at the latest. */
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
