package willowdoor.fairness;

import java.util.ArrayDeque;
import willowdoor.fairness.FairSettings.PlanPart;

/**
 * What is known of a firm beside its place in the order: what it has out, its quota once that was seen to be
 * spent, and the come-back times that it was told.
 *
 * <p>Of its quota this door paces a part: what is told of its use over all doors, or an even one. A request
 * that was paced and found the quota spent all the same, as parts were told late or not at all, makes it
 * careful for a while: a little less is paced, and so promised.
 */
final class Firm {

  /**
   * A firm seen to be spent is paced by its quota for so long, and then until its bucket is full: it asks for
   * less than its quota. Ended earlier, whatever came next would take what others were told to come back for.
   */
  private static final double SPENT_MS = 5_000;
  private static final double CUT = 0.9;
  private static final double LEAST_CARE = 0.5;
  private static final double RAISE_PER_S = 0.02;
  /** A part that is told is mixed with an even one by so much, or a door that has none would get none. */
  private static final double EVEN = 0.1;
  /** Cuts come this far apart: what was let through before the first one tells nothing new. */
  private static final double CUT_EVERY_MS = 250;
  /** A firm without a quota, or unknown, is not bound by one. */
  private static final double NO_RATE = 0;
  /** What is left of a quota's pace beside those who were told to come back: a guess, and a careful one. */
  private static final double LEFT_UNPROMISED = 0.2;
  /** A wait of less than this is none. */
  private static final double ROUNDING_MS = 0.01;
  /** Weight of the newest answer in what a firm's requests take. */
  private static final double NEWEST = 0.03;
  /** Answers tell of the work of one request within these factors; beyond, of an accident. */
  static final double LEAST_FACTOR = 0.1;
  static final double MOST_FACTOR = 20;

  final long number;
  private final int entryPoints;
  private PlanPart part;
  private double through;
  private double care = 1;
  int out;
  /** What its requests take for what their units say, all firms' being 1. */
  double factor = 1;
  private double mean = 1;
  /** Come-back times told, in order, and not claimed yet. */
  final ArrayDeque<Promises.Told> comeBacks = new ArrayDeque<>(1);
  /** When its quota lets the next through, while it is held back. */
  double readyAtMs;
  /** Until then nothing more may be promised: what was has taken the room. */
  double promisedUntilMs;
  private double level;
  private double levelAtMs;
  private double spentUntilMs = Double.NEGATIVE_INFINITY;
  private boolean paced;
  private double cutAtMs = Double.NEGATIVE_INFINITY;
  private boolean held;

  Firm(PlanPart part, long number, int entryPoints) {
    this.part = part;
    this.number = number;
    this.entryPoints = Math.max(1, entryPoints);
    through = 1.0 / this.entryPoints;
  }

  /** The part of its use that comes through this door, as told, or else as an even spread makes it. */
  double through() {
    return through;
  }

  void through(double now, double of) {
    advance(now);
    through = (1 - EVEN) * Math.max(0, Math.min(1, of)) + EVEN / entryPoints;
  }

  void change(PlanPart other) {
    part = other;
    level = Math.min(level, other.burst());
  }

  /** Whether it may have nothing more out now. */
  boolean blocked() {
    return held || atMost();
  }

  boolean atMost() {
    return part.mostOut() > 0 && out >= Math.max(1, Math.round(part.mostOut() * through));
  }

  boolean forgettable() {
    return out == 0 && comeBacks.isEmpty() && !held && level >= 0;
  }

  /** Units a millisecond of its quota that are this door's; 0 while it is not known to be spent. */
  double paceRate(double now) {
    return paced ? part.rate() * through * care / 1000 : NO_RATE;
  }

  /** Requests a millisecond that its bound of requests out lets through, each taking so long; 0 is any. */
  double drains(double serviceMs) {
    return part.mostOut() <= 0 ? 0 : Math.max(1, part.mostOut() * through) / serviceMs;
  }

  /** How long until its quota lets so many units through, with so many ahead; 0 where it does not bind. */
  double untilPaced(double now, double units) {
    advance(now);
    double pace = paceRate(now);
    return pace <= 0 ? 0 : Math.max(0, (units - level) / pace);
  }

  private double most() {
    return Math.max(1, part.burst() * through);
  }

  /** Units kept for those who were told to come back. */
  private double kept(double now) {
    return comeBacks.isEmpty() ? 0 : Math.min(most() / 2, paceRate(now) * Promises.WINDOW_MS);
  }

  /** How long until so many units come through for who was promised nothing, beside those who were. */
  double unpromisedIn(double now, double units) {
    double left = comeBacks.isEmpty() ? 1 : LEFT_UNPROMISED;
    return untilPaced(now, units + kept(now)) / left;
  }

  boolean held() {
    return held;
  }

  /**
   * Holds it back while its quota is spent, with a second's room kept for those who were told to come back;
   * tells whether that has changed.
   */
  boolean hold(double now, double units) {
    boolean was = held;
    double wait = units <= 0 ? 0 : untilPaced(now, Math.min(most(), units + kept(now)));
    held = wait > ROUNDING_MS;
    readyAtMs = now + wait;
    return was != held;
  }

  void released(double now, double units) {
    out++;
    if (paceRate(now) > 0) {
      advance(now);
      level -= units;
    }
  }

  /** A request cost so much more of its quota than it was taken to, or less. */
  void settle(double now, double units) {
    advance(now);
    level = Math.min(most(), level - units);
  }

  /** The policy found its quota spent: from now on it is paced. */
  void spent(double now) {
    advance(now);
    if (part.rate() <= 0) {
      return;
    }
    if (paced && now - cutAtMs >= CUT_EVERY_MS) {
      care = Math.max(LEAST_CARE, care * CUT);
      cutAtMs = now;
    }
    level = Math.min(level, 0);
    spentUntilMs = now + SPENT_MS;
    paced = true;
  }

  private void advance(double now) {
    double seconds = (now - levelAtMs) / 1000;
    care = Math.min(1, care + RAISE_PER_S * seconds);
    level = Math.min(most(), level + part.rate() * through * care * seconds);
    levelAtMs = now;
    paced &= now < spentUntilMs || level < most() - ROUNDING_MS;
  }

  /** One of its requests took that much of what its units say. */
  void took(double ratio) {
    mean += NEWEST * (Math.max(-MOST_FACTOR, Math.min(MOST_FACTOR, ratio)) - mean);
    factor = Math.max(LEAST_FACTOR, mean);
  }
}
