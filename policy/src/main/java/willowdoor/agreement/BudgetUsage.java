package willowdoor.agreement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Tracks which subjects of one kind are out, for any reason, and whether the budget allows another. */
final class BudgetUsage {

  /**
   * Why the budget does not allow a subject to go out; {@code byZone} if only the limit of its zone prevents
   * it.
   */
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

  /** Marks a subject as out. */
  void takeOut(String name) {
    if (outNames.add(name)) {
      servingWeight -= entries.get(name).weight;
    }
  }

  /**
   * Why the subject may not go out now, or null if the budget allows it. A subject that is already out by
   * itself adds nothing to the count, but the limits must still hold: the subject may only be unreachable,
   * and a permit would keep it out when it would otherwise come back.
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
