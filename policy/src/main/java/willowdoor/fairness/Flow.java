package willowdoor.fairness;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.TreeSet;

/**
 * A node in the hierarchy of a {@link FairTree}: the root, a plan, a firm or a client. An inner node orders
 * its children by start tags, in its own virtual time. A client's flow is a leaf and holds the client's
 * requests in order of arrival.
 */
final class Flow {

  /** Orders flows by start tag; equal tags in the order in which the flows became eligible for service. */
  static final Comparator<Flow> BY_START_TAG = Comparator.<Flow>comparingDouble(f -> f.startTag)
      .thenComparingLong(f -> f.readyOrder);

  final Flow parent;
  final Object key;
  double weight;
  /** For a plan: the weight of one of its firms. */
  double firmWeight = 1;
  /** In the parent's virtual time: the start tag of the next request, or the finish tag of the last one. */
  double startTag;
  long readyOrder;
  /** Virtual time of the children: the highest start tag that was served. */
  double virtualTime;
  /** Children that have waiting requests and may be served. */
  final TreeSet<Flow> readyChildren;
  double readyChildrenWeight;
  final Map<Object, Flow> children;
  /** Children without waiting requests, longest idle first: the candidates for eviction. */
  final LinkedHashSet<Flow> idleChildren;
  int waitingCount;
  double waitingCost;
  boolean isReady;
  /** For a firm: waiting cost divided by weight, as last entered in the tree's order of firms by backlog. */
  double backlogPerWeight;
  /** The firm's state; null for flows that are not firms. */
  Firm firm;
  /** First and last request of a client's flow. */
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

  /** Adds a child without waiting requests. */
  Flow addChild(Object childKey, double childWeight, boolean leaf) {
    Flow child = new Flow(this, childKey, childWeight, leaf);
    children.put(childKey, child);
    idleChildren.add(child);
    return child;
  }

  /**
   * The current weight. A plan without a weight of its own weighs as much as its ready firms together, or as
   * one firm while none is ready.
   */
  double effectiveWeight() {
    return weight > 0 ? weight : readyChildrenWeight > 0 ? readyChildrenWeight : firmWeight;
  }

  boolean isEligible() {
    return waitingCount > 0 && (firm == null || !firm.isBlocked())
        && (readyChildren == null || !readyChildren.isEmpty());
  }

  /**
   * Whether evicting this flow loses no state: virtual time has passed its tag, and its firm, if any, holds
   * no state.
   */
  boolean canBeEvicted() {
    return waitingCount == 0 && startTag <= parent.virtualTime && (firm == null || firm.canBeEvicted());
  }

  /** Evicts one idle child and returns it, or null. Only the longest idle children are inspected. */
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
