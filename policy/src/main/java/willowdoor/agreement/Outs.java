package willowdoor.agreement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What of one kind is out, whatever took it out, and whether one more fits. */
final class Outs {

  /** Why one more does not fit. */
  record Held(boolean byZone, String why) { }

  private record One(String zone, double weight) { }

  private final Budget budget;
  private final Map<String, One> all = new HashMap<>();
  private final Set<String> out = new HashSet<>();
  private double serving;

  Outs(Budget budget) {
    this.budget = budget;
  }

  void add(String name, String zone, double weight, boolean isOut) {
    all.put(name, new One(zone, weight));
    if (isOut) {
      out.add(name);
    } else {
      serving += weight;
    }
  }

  boolean knows(String name) {
    return all.containsKey(name);
  }

  boolean has(String name) {
    return out.contains(name);
  }

  int count() {
    return out.size();
  }

  /** One more goes out. */
  void take(String name) {
    if (out.add(name)) {
      serving -= all.get(name).weight;
    }
  }

  /**
   * Null where it fits. One that is out by itself is not let go for nothing: it may only be out of reach, and
   * would then go on purpose where it would have come back.
   */
  Held holdsBack(String name) {
    int self = has(name) ? 0 : 1;
    int most = budget.inAll().among(all.size());
    if (out.size() + self > most) {
      return new Held(false, out.size() + " of " + all.size() + " are out, " + most + " may be" + names());
    }
    One one = all.get(name);
    if (serving - self * one.weight < budget.leastWeight() - 1e-9) {
      return new Held(false, "weight " + serving + " serves, " + budget.leastWeight() + " must without it");
    }
    long inZone = all.values().stream().filter(x -> x.zone.equals(one.zone)).count();
    long outInZone = out.stream().filter(x -> all.get(x).zone.equals(one.zone)).count();
    int mostInZone = budget.inZone().among((int) inZone);
    return outInZone + self > mostInZone ? new Held(true, outInZone + " of " + inZone + " are out in zone "
        + one.zone + ", " + mostInZone + " may be") : null;
  }

  private String names() {
    return out.isEmpty() ? "" : ": " + String.join(", ", out.stream().sorted().limit(5).toList());
  }
}
