package willowdoor.fairness;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.TreeSet;

/**
 * One node of the hierarchy of a {@link FairTree}: the root, a plan, a firm or a client. Inner nodes order
 * their children by start tags in a virtual time of their own; a client's flow holds its requests in order.
 */
final class Flow {

  /** By start tag; those of one tag in the order in which they came to have something waiting. */
  static final Comparator<Flow> BY_TAG = Comparator.<Flow>comparingDouble(f -> f.tag)
      .thenComparingLong(f -> f.order);

  final Flow parent;
  final Object key;
  double weight;
  /** A plan's: what one firm weighs. */
  double least = 1;
  /** In the parent's virtual time: start of what is next here, or end of what was last. */
  double tag;
  long order;
  /** Virtual time of the children: the start tag last served. */
  double virtual;
  /** Children that have something waiting and may be served. */
  final TreeSet<Flow> ready;
  double readyWeight;
  final Map<Object, Flow> children;
  /** Children with nothing waiting, longest idle first: the ones to be forgotten. */
  final LinkedHashSet<Flow> idle;
  int waiting;
  double waitingCost;
  boolean isReady;
  /** Its place among all firms by what waits of each, as it was entered there. */
  double fullness;
  /** A firm's; null elsewhere. */
  Firm firm;
  /** A client's requests, first and last. */
  Waiting head;
  Waiting tail;

  private Flow(Flow parent, Object key, double weight, boolean leaf) {
    this.parent = parent;
    this.key = key;
    this.weight = weight;
    ready = leaf ? null : new TreeSet<>(BY_TAG);
    children = leaf ? null : new HashMap<>(4);
    idle = leaf ? null : new LinkedHashSet<>(4);
    tag = parent == null ? 0 : parent.virtual;
  }

  static Flow root() {
    return new Flow(null, "", 1, false);
  }

  /** A child of this, with nothing waiting. */
  Flow add(Object name, double ownWeight, boolean leaf) {
    Flow made = new Flow(this, name, ownWeight, leaf);
    children.put(name, made);
    idle.add(made);
    return made;
  }

  /** What it weighs at present; a plan without a weight weighs what its ready firms do, one at least. */
  double weighs() {
    return weight > 0 ? weight : readyWeight > 0 ? readyWeight : least;
  }

  boolean mayBeServed() {
    return waiting > 0 && (firm == null || !firm.blocked()) && (ready == null || !ready.isEmpty());
  }

  /** Whether forgetting it changes nothing: its tag has passed, and nothing else is known of it. */
  boolean forgettable() {
    return waiting == 0 && tag <= parent.virtual && (firm == null || firm.forgettable());
  }

  /** Forgets one idle child, looking at the longest idle ones only; gives it, or null. */
  Flow forgetOne(int looks) {
    Iterator<Flow> each = idle.iterator();
    for (int i = 0; i < looks && each.hasNext(); i++) {
      Flow f = each.next();
      if (f.forgettable()) {
        each.remove();
        children.remove(f.key);
        return f;
      }
    }
    return null;
  }

  void push(Waiting w) {
    w.before = tail;
    if (tail == null) {
      head = w;
    } else {
      tail.after = w;
    }
    tail = w;
  }

  void pushFirst(Waiting w) {
    w.after = head;
    if (head == null) {
      tail = w;
    } else {
      head.before = w;
    }
    head = w;
  }

  void unlink(Waiting w) {
    if (w.before == null) {
      head = w.after;
    } else {
      w.before.after = w.after;
    }
    if (w.after == null) {
      tail = w.before;
    } else {
      w.after.before = w.before;
    }
    w.before = null;
    w.after = null;
  }
}
