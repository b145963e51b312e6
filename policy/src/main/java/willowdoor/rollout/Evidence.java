package willowdoor.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A sequential test of whether released doors do worse than the others, separately for refusals, failures and
 * late answers. It is Wald's sequential probability ratio test (1945), conditioned on the number of bad
 * results: of the bad results in a round, the released doors' share is compared with their share of the
 * requests. A surge or an outage that affects all doors alike therefore adds no evidence, whatever the common
 * rate is.
 *
 * <p>Let released doors have n1 of a round's requests and the others n2. If the ratio of their rates is r, a
 * bad result comes from a released door with probability p(r) = r n1 / (r n1 + n2). Each bad result
 * multiplies the evidence by p(suspected) / p(tolerated) at a released door, and by
 * (1 - p(suspected)) / (1 - p(tolerated)) at another one. For any r up to {@code tolerated} the product is a
 * supermartingale that starts at 1, so the probability that it ever reaches k / falseAlarm is at most
 * falseAlarm / k (Ville, 1939), however often it is evaluated; for the k = 3 kinds together, falseAlarm. The
 * product raised to a power below 1 is a supermartingale as well (Jensen), which allows for results that are
 * not independent: with clumps of c results, each counts with the weight 1 / c.
 *
 * <p>Uses {@link StrictMath}, so that every steward computes the same value.
 *
 * @param since when the current round began, in ms
 * @param released results of released doors in the current round
 * @param others results of the other doors in the current round
 * @param allReleased results of released doors in the earlier rounds
 * @param allOthers results of the other doors in the earlier rounds
 * @param logs natural logarithm of the evidence of each kind: refused, failed, late
 */
public record Evidence(double since, Tally released, Tally others, Tally allReleased, Tally allOthers,
    List<Double> logs) {

  /** The kinds of bad results, in the order of the logarithms. */
  private static final List<String> KINDS = List.of("refused", "failed", "late");
  private static final double ROUND_MS = 1_000;

  /** Copies the list. */
  public Evidence {
    logs = List.copyOf(logs);
  }

  /** Evidence without any results, collected from {@code nowMs} on. */
  public static Evidence empty(double nowMs) {
    return new Evidence(nowMs, Tally.NONE, Tally.NONE, Tally.NONE, Tally.NONE, List.of(0.0, 0.0, 0.0));
  }

  /** Adds the results that a door reported. */
  public Evidence with(boolean isReleased, Tally tally) {
    return new Evidence(since, isReleased ? released.plus(tally) : released,
        isReleased ? others : others.plus(tally), allReleased, allOthers, logs);
  }

  /** Ends the current round and adds its evidence, if the round has lasted long enough. */
  public Evidence withRoundClosed(double nowMs, Comparison comparison) {
    if (nowMs - since < ROUND_MS) {
      return this;
    }
    List<Double> next = new ArrayList<>();
    for (int kind = 0; kind < KINDS.size(); kind++) {
      next.add(logs.get(kind) + logLikelihoodRatio(kind, comparison));
    }
    return new Evidence(nowMs, Tally.NONE, Tally.NONE, allReleased.plus(released), allOthers.plus(others),
        next);
  }

  private double logLikelihoodRatio(int kind, Comparison comparison) {
    double n1 = released.asked();
    double n2 = others.asked();
    if (n1 <= 0 || n2 <= 0) {
      return 0;
    }
    double p0 = comparison.tolerated() * n1 / (comparison.tolerated() * n1 + n2);
    double p1 = comparison.suspected() * n1 / (comparison.suspected() * n1 + n2);
    return (badCount(released, kind) * StrictMath.log(p1 / p0)
        + badCount(others, kind) * StrictMath.log((1 - p1) / (1 - p0))) / comparison.clump();
  }

  private static long badCount(Tally tally, int kind) {
    return kind == 0 ? tally.refused() : kind == 1 ? tally.failed() : tally.late();
  }

  /** Describes in which respect released doors do worse; null if the evidence does not show that they do. */
  public String describeRegression(Comparison comparison) {
    double threshold = StrictMath.log(KINDS.size() / comparison.falseAlarm());
    for (int kind = 0; kind < KINDS.size(); kind++) {
      if (logs.get(kind) >= threshold) {
        return String.format(Locale.ROOT, "released doors do worse: %s %d of %d, the others %d of %d",
            KINDS.get(kind), badCount(allReleased, kind), allReleased.asked(), badCount(allOthers, kind),
            allOthers.asked());
      }
    }
    return null;
  }
}
