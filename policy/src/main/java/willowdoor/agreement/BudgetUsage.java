package willowdoor.agreement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What of one kind is out, whatever took it out, and whether one more fits. */
final class BudgetUsage {

  /** Why one more does not fit. */
  record Denial(boolean zoneOnly, String why) { }

  private record Entry(String zone, double weight) { }

  private final Budget budget;
  private final Map<String, Entry> entries = new HashMap<>();
  private final Set<String> outNames = new HashSet<>();
  private double servingWeight;

  BudgetUsage(Budget budget) {
    this.budget = budget;
  }

  void add(String name, String zone, double weight, boolean isOut) {
    entries.put(name, new Entry(zone, weight));
    if (isOut) {
      outNames.add(name);
    } else {
      servingWeight += weight;
    }
  }

  boolean contains(String name) {
    return entries.containsKey(name);
  }

  boolean isOut(String name) {
    return outNames.contains(name);
  }

  int outCount() {
    return outNames.size();
  }

  /** One more goes out. */
  void takeOut(String name) {
    if (outNames.add(name)) {
      servingWeight -= entries.get(name).weight;
    }
  }

  /**
   * Null where it fits. One that is out by itself is not let go for nothing: it may only be out of reach, and
   * would then go on purpose where it would have come back.
   */
  Denial denialFor(String name) {
    int additional = isOut(name) ? 0 : 1;
    int maxOut = budget.inAll().resolve(entries.size());
    if (outNames.size() + additional > maxOut) {
      return new Denial(false,
          outNames.size() + " of " + entries.size() + " are out, " + maxOut + " may be" + outNamesSuffix());
    }
    Entry entry = entries.get(name);
    if (servingWeight - additional * entry.weight < budget.leastWeight() - 1e-9) {
      return new Denial(false,
          "weight " + servingWeight + " serves, " + budget.leastWeight() + " must without it");
    }
    long totalInZone = entries.values().stream().filter(x -> x.zone.equals(entry.zone)).count();
    long outInZone = outNames.stream().filter(x -> entries.get(x).zone.equals(entry.zone)).count();
    int maxOutInZone = budget.inZone().resolve((int) totalInZone);
    return outInZone + additional > maxOutInZone
        ? new Denial(true, outInZone + " of " + totalInZone + " are out in zone "
        + entry.zone + ", " + maxOutInZone + " may be") : null;
  }

  private String outNamesSuffix() {
    return outNames.isEmpty() ? "" : ": " + String.join(", ", outNames.stream().sorted().limit(5).toList());
  }
}
