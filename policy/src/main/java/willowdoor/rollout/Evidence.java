package willowdoor.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A sequential test whether released doors do worse than the others: of refusals, failures and late answers
 * each. Wald's sequential probability ratio test (1945), conditioned on when something went wrong: of what
 * goes wrong in a round, the part that does so at released doors is compared with their part of the requests.
 * So a surge or an outage that meets all doors alike tells nothing, whatever the common rate does.
 *
 * <p>Let released doors have n1 of a round's requests, the others n2. Where their rates are as r to 1, one
 * that goes wrong does so at a released door with p(r) = r n1 / (r n1 + n2). Each multiplies the evidence by
 * p(suspected) / p(tolerated), or by (1 - p(suspected)) / (1 - p(tolerated)) at another door. For any r up to
 * {@code tolerated} that product is a supermartingale that begins with 1, so it ever reaches k / falseAlarm
 * with a chance of falseAlarm / k at most (Ville, 1939), however often it is looked at; with the k = 3 kinds
 * together falseAlarm. A power below 1 of it is one as well (Jensen), which is how clumps are allowed for:
 * what comes in clumps of c counts as its c-th part.
 *
 * <p>It uses {@link StrictMath}, so that every steward comes to the same.
 *
 * @param since when the round that is under way began
 * @param released what came from released doors in it
 * @param others what came from the others in it
 * @param allReleased the same of the rounds before
 * @param allOthers the same of the rounds before
 * @param logs the logarithm of the evidence by kind: refused, failed, late
 */
public record Evidence(double since, Tally released, Tally others, Tally allReleased, Tally allOthers,
    List<Double> logs) {

  /** What is compared, in the order of the logarithms. */
  private static final List<String> KINDS = List.of("refused", "failed", "late");
  private static final double ROUND_MS = 1_000;

  /** Keeps a copy. */
  public Evidence {
    logs = List.copyOf(logs);
  }

  /** None yet, from that time on. */
  public static Evidence empty(double nowMs) {
    return new Evidence(nowMs, Tally.NONE, Tally.NONE, Tally.NONE, Tally.NONE, List.of(0.0, 0.0, 0.0));
  }

  /** With what a door said. */
  public Evidence with(boolean isReleased, Tally tally) {
    return new Evidence(since, isReleased ? released.plus(tally) : released,
        isReleased ? others : others.plus(tally), allReleased, allOthers, logs);
  }

  /** With the round closed, where it is over. */
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

  /** What released doors do worse, in words; null where that isn't shown. */
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
