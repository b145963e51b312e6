package willowdoor.emulator.agreement;

import java.util.ArrayList;
import java.util.List;

/**
 * Enumerates all schedules with at most a given number of faults. Each schedule is replayed from its
 * beginning with the choices recorded in a path; beyond the end of the path no fault is chosen. The bound is
 * analogous to delay-bounded scheduling (Emmi, Qadeer and Rakamaric, 2011).
 */
final class Choices {

  private record Choice(int taken, int options) { }

  private final int maxFaults;
  private final List<Choice> path = new ArrayList<>();
  private int position;
  private int faults;

  Choices(int maxFaults) {
    this.maxFaults = maxFaults;
  }

  /** Chooses one of the options: 0 is the behaviour without a fault, any other value is a fault. */
  int pick(int options) {
    if (position == path.size()) {
      path.add(new Choice(0, faults < maxFaults ? options : 1));
    }
    int taken = path.get(position++).taken();
    faults += taken > 0 ? 1 : 0;
    return taken;
  }

  /** Advances to the next schedule; returns false once all schedules have been played. */
  boolean next() {
    position = 0;
    faults = 0;
    while (!path.isEmpty()) {
      Choice last = path.remove(path.size() - 1);
      if (last.taken() + 1 < last.options()) {
        path.add(new Choice(last.taken() + 1, last.options()));
        return true;
      }
    }
    return false;
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder("faults");
    for (int i = 0; i < path.size(); i++) {
      if (path.get(i).taken() > 0) {
        text.append(' ').append(i).append(':').append(path.get(i).taken());
      }
    }
    return text.toString();
  }
}
