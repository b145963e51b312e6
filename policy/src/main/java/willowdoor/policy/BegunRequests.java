package willowdoor.policy;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The ids of requests that must not run twice and of which an attempt has begun, here or in another process
 * of the same front door. A request that comes again with such an id, after its client left or at the other
 * process, is not run. An id is kept until its request can no longer be wanted; at the bound, the oldest is
 * dropped.
 */
public final class BegunRequests {

  /** Limit of the ids that are kept. */
  public static final int MAX_IDS = 16_384;
  /** How long an id is kept after the deadline of its request, in milliseconds. */
  private static final double KEEP_MS = 5_000;

  /** When each id may be dropped, oldest first. */
  private final Map<String, Double> untilMs = new LinkedHashMap<>();

  /**
   * Notes that an attempt of the request begins.
   *
   * @param deadlineMs when the client gives up
   */
  public void add(double nowMs, String id, double deadlineMs) {
    dropOld(nowMs);
    untilMs.put(id, deadlineMs + KEEP_MS);
    if (untilMs.size() > MAX_IDS) {
      untilMs.remove(untilMs.keySet().iterator().next());
    }
  }

  /** Whether an attempt of a request with this id has begun. */
  public boolean contains(double nowMs, String id) {
    Double until = untilMs.get(id);
    return until != null && nowMs < until;
  }

  /** The ids that are kept, oldest first. */
  public List<String> ids(double nowMs) {
    dropOld(nowMs);
    return new ArrayList<>(untilMs.keySet());
  }

  private void dropOld(double nowMs) {
    Iterator<Double> oldest = untilMs.values().iterator();
    while (oldest.hasNext() && oldest.next() <= nowMs) {
      oldest.remove();
    }
  }
}
