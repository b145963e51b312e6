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
  static final Comparator<Flow> BY_START_TAG = Comparator.<Flow>comparingDouble(f -> f.startTag)
      .thenComparingLong(f -> f.readyOrder);

  final Flow parent;
  final Object key;
  double weight;
  /** A plan's: what one firm weighs. */
  double firmWeight = 1;
  /** In the parent's virtual time: start of what is next here, or end of what was last. */
  double startTag;
  long readyOrder;
  /** Virtual time of the children: the start tag last served. */
  double virtualTime;
  /** Children that have something waiting and may be served. */
  final TreeSet<Flow> readyChildren;
  double readyChildrenWeight;
  final Map<Object, Flow> children;
  /** Children with nothing waiting, longest idle first: the ones to be forgotten. */
  final LinkedHashSet<Flow> idleChildren;
  int waitingCount;
  double waitingCost;
  boolean isReady;
  /** Its place among all firms by what waits of each, as it was entered there. */
  double backlogPerWeight;
  /** A firm's; null elsewhere. */
  Firm firm;
  /** A client's requests, first and last. */
  QueuedRequest head;
  QueuedRequest tail;

  private Flow(Flow parent, Object key, double weight, boolean leaf) {
    this.parent = parent;
    this.key = key;
    this.weight = weight;
    readyChildren = leaf ? null : new TreeSet<>(BY_START_TAG);
    children = leaf ? null : new HashMap<>(4);
    idleChildren = leaf ? null : new LinkedHashSet<>(4);
    startTag = parent == null ? 0 : parent.virtualTime;
  }

  static Flow root() {
    return new Flow(null, "", 1, false);
  }

  /** A child of this, with nothing waiting. */
  Flow addChild(Object childKey, double childWeight, boolean leaf) {
    Flow child = new Flow(this, childKey, childWeight, leaf);
    children.put(childKey, child);
    idleChildren.add(child);
    return child;
  }

  /** What it weighs at present; a plan without a weight weighs what its ready firms do, one at least. */
  double effectiveWeight() {
    return weight > 0 ? weight : readyChildrenWeight > 0 ? readyChildrenWeight : firmWeight;
  }

  boolean isEligible() {
    return waitingCount > 0 && (firm == null || !firm.isBlocked())
        && (readyChildren == null || !readyChildren.isEmpty());
  }

  /** Whether forgetting it changes nothing: its tag has passed, and nothing else is known of it. */
  boolean canBeEvicted() {
    return waitingCount == 0 && startTag <= parent.virtualTime && (firm == null || firm.canBeEvicted());
  }

  /** Forgets one idle child, looking at the longest idle ones only; gives it, or null. */
  Flow evictIdleChild(int maxInspected) {
    Iterator<Flow> iterator = idleChildren.iterator();
    for (int i = 0; i < maxInspected && iterator.hasNext(); i++) {
      Flow child = iterator.next();
      if (child.canBeEvicted()) {
        iterator.remove();
        children.remove(child.key);
        return child;
      }
    }
    return null;
  }

  void addLast(QueuedRequest request) {
    request.previous = tail;
    if (tail == null) {
      head = request;
    } else {
      tail.next = request;
    }
    tail = request;
  }

  void addFirst(QueuedRequest request) {
    request.next = head;
    if (head == null) {
      tail = request;
    } else {
      head.previous = request;
    }
    head = request;
  }

  void unlink(QueuedRequest request) {
    if (request.previous == null) {
      head = request.next;
    } else {
      request.previous.next = request.next;
    }
    if (request.next == null) {
      tail = request.previous;
    } else {
      request.next.previous = request.previous;
    }
    request.previous = null;
    request.next = null;
  }
}
