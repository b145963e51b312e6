package willowdoor.emulator.agreement;

import java.util.ArrayList;
import java.util.List;

/**
 * Goes through all schedules with at most so many faults, one after the other: each is played from its
 * beginning with the choices of a path, and with no fault beyond it. Bounded by faults as others bound by
 * delays (Emmi, Qadeer and Rakamaric, 2011).
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

  /** Which of so many ways: 0 is how it should be, any other is a fault. */
  int pick(int options) {
    if (position == path.size()) {
      path.add(new Choice(0, faults < maxFaults ? options : 1));
    }
    int taken = path.get(position++).taken();
    faults += taken > 0 ? 1 : 0;
    return taken;
  }

  /** The next schedule; false where all were played. */
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
