package willowdoor.epoch;

import java.util.ArrayList;
import java.util.List;
import willowdoor.epoch.Change.Stage;
import willowdoor.epoch.EpochAction.BeatSoon;
import willowdoor.epoch.EpochAction.Drop;
import willowdoor.epoch.EpochAction.Prepare;
import willowdoor.epoch.EpochAction.TakeHold;
import willowdoor.epoch.EpochAction.WakeAt;
import willowdoor.epoch.EpochEvent.Answered;
import willowdoor.epoch.EpochEvent.Cannot;
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
public final class EpochSide {

  private final double drift;
  private final boolean bothWhenUnsure;
  /** Which epoch it goes by; {@link By#NONE} before it was told. */
  private long holding;
  private long ready = By.NONE;
  private long asked = By.NONE;
  private long refused;
  private String why = "";
  private EpochView view;
  private long number;
  private double sentMs;
  private double heardMs;
  private By by = By.refusing();

  /**
   * Of a process that has heard nothing yet.
   *
   * @param drift the most that a clock runs wrong, as a part of the time that passes
   * @param bothWhenUnsure whether what passes under both policies is served while it isn't known which one
   *     holds; otherwise everything is refused then
   * @param kept the epoch whose document it has kept and built, or {@link By#NONE}
   */
  public EpochSide(double drift, boolean bothWhenUnsure, long kept) {
    if (!(drift >= 0 && drift < 0.5)) {
      throw new IllegalArgumentException("drift " + drift + " (expected: 0 to 0.5)");
    }
    this.drift = drift;
    this.bothWhenUnsure = bothWhenUnsure;
    holding = kept;
  }

  /** By which policies a request that is taken now is decided. */
  public By by(double nowMs) {
    if (nowMs >= by.untilMs()) {
      by = decided(nowMs);
    }
    return by;
  }

  /** What is said with heartbeats. */
  public Member.Word word() {
    return new Member.Word(Math.max(0, holding), Math.max(0, ready), refused, why);
  }

  /** Takes an event at its time. */
  public List<EpochAction> on(double nowMs, EpochEvent event) {
    List<EpochAction> actions = new ArrayList<>();
    Member.Word before = word();
    if (event instanceof Answered e) {
      answered(nowMs, e);
    } else if (event instanceof Ready e && e.epoch() == asked) {
      ready = asked;
    } else if (event instanceof Cannot e && e.epoch() == asked) {
      refused = asked;
      why = e.why();
    }
    by = decided(nowMs);
    follow(nowMs, actions);
    if (!word().equals(before)) {
      actions.add(new BeatSoon());
    }
    if (by.untilMs() < Double.POSITIVE_INFINITY) {
      actions.add(new WakeAt(by.untilMs()));
    }
    return actions;
  }

  /** One that another has overtaken tells nothing new. */
  private void answered(double nowMs, Answered e) {
    if (e.number() > number && (view == null || e.view().nowMs() >= view.nowMs())) {
      number = e.number();
      view = e.view();
      sentMs = e.sentMs();
      heardMs = nowMs;
    }
  }

  /** What is to be prepared, kept or dropped by what it knows now. */
  private void follow(double nowMs, List<EpochAction> actions) {
    if (view == null) {
      return;
    }
    if (ready >= 0 && ready != view.next() && ready != view.current() && ready != holding) {
      actions.add(new Drop(ready));
      ready = By.NONE;
    }
    if (ready >= 0 && (ready == view.current() || by.epoch() == ready)) {
      holding = ready;
      ready = By.NONE;
      actions.add(new TakeHold(holding));
      by = decided(nowMs);
    }
    long wanted = view.current() != holding && view.next() != holding ? view.current() : view.next();
    if (wanted > 0 && wanted != holding && wanted != asked && wanted != ready) {
      asked = wanted;
      actions.add(new Prepare(wanted, wanted == view.current() ? view.hash() : view.nextHash()));
    }
  }

  private double slowest() {
    return (1 - drift) / (1 + drift);
  }

  /** By the door's clock, when the record's time may be this at the earliest. */
  private double earliest(double recordMs) {
    return sentMs + (recordMs - view.nowMs()) * slowest();
  }

  /** By the door's clock, when the record's time is this at the latest. */
  private double latest(double recordMs) {
    return heardMs + (recordMs - view.nowMs()) / slowest();
  }

  private By decided(double nowMs) {
    if (view == null) {
      return By.refusing();
    }
    double fence = sentMs + view.fenceMs() * slowest();
    if (nowMs >= fence) {
      return By.refusing();
    }
    boolean over = view.stage() == null || view.stage() == Stage.HOLDS;
    if (holding == view.next() && !over) {
      return By.alone(holding, fence);
    }
    if (holding != view.current()) {
      return By.refusing();
    }
    if (over) {
      return By.alone(holding, fence);
    }
    if (view.stage() == Stage.PREPARING) {
      return preparing(nowMs, fence);
    }
    return coming(nowMs, fence);
  }

  private By preparing(double nowMs, double fence) {
    if (ready != view.next()) {
      return By.alone(holding, fence);
    }
    double alone = sentMs + view.marginMs() * slowest();
    if (nowMs < alone) {
      return By.alone(holding, Math.min(alone, fence));
    }
    return bothWhenUnsure ? new By(holding, ready, fence) : By.refusing();
  }

  private By coming(double nowMs, double fence) {
    double old = view.stage() == Stage.UNSURE ? Double.NEGATIVE_INFINITY : earliest(view.holdMs());
    double fresh = latest(view.holdMs());
    if (nowMs < old) {
      return By.alone(holding, Math.min(old, fence));
    }
    if (ready != view.next()) {
      return By.refusing();
    }
    return nowMs < fresh ? new By(holding, ready, Math.min(fresh, fence)) : By.alone(ready, fence);
  }
}
