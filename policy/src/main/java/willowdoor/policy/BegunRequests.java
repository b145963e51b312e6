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
 *
 * <p>While two processes run, each claims the ids of its requests at the other one, and this class decides on
 * the claims. Where requests with one id are held by both processes, the process that was first runs its own:
 * it rejects the claim of the other one, which confirms that of the first. A claim that comes again, as its
 * reply was late, is confirmed again.
 */
public final class BegunRequests {

  /** Limit of the ids that are kept. */
  public static final int MAX_IDS = 16_384;
  /** How long an id is kept after the deadline of its request, in milliseconds. */
  private static final double KEEP_MS = 5_000;

  /**
   * What is known of an id.
   *
   * @param untilMs when it may be dropped
   * @param ofOther whether its request runs, or may run, in the other process that runs now
   */
  private record Begun(double untilMs, boolean ofOther) { }

  /** Oldest first. */
  private final Map<String, Begun> begun = new LinkedHashMap<>();

  /**
   * Notes that an attempt of the request begins.
   *
   * @param deadlineMs when the client gives up
   */
  public void add(double nowMs, String id, double deadlineMs) {
    put(nowMs, id, deadlineMs, false);
  }

  /** Notes that the request has begun, or may begin, in the other process. */
  public void addOfOther(double nowMs, String id, double deadlineMs) {
    if (!contains(nowMs, id)) {
      put(nowMs, id, deadlineMs, true);
    }
  }

  private void put(double nowMs, String id, double deadlineMs, boolean ofOther) {
    dropOld(nowMs);
    begun.put(id, new Begun(deadlineMs + KEEP_MS, ofOther));
    if (begun.size() > MAX_IDS) {
      begun.remove(begun.keySet().iterator().next());
    }
  }

  /** Whether an attempt of a request with this id has begun. */
  public boolean contains(double nowMs, String id) {
    Begun known = begun.get(id);
    return known != null && nowMs < known.untilMs();
  }

  /**
   * Decides whether the other process may run a request with this id. If so, the id is noted, and no request
   * with it begins here.
   *
   * @param deadlineMs when the client gives up at the latest
   * @param heldFirst whether this process holds such a request, and is the first of the two
   */
  public boolean confirmClaim(double nowMs, String id, double deadlineMs, boolean heldFirst) {
    boolean begunHere = contains(nowMs, id) && !begun.get(id).ofOther();
    if (begunHere || heldFirst) {
      return false;
    }
    addOfOther(nowMs, id, deadlineMs);
    return true;
  }

  /** The other process has ended: a later one is told that what ran there must not run again. */
  public void onOtherEnded() {
    begun.replaceAll((id, known) -> new Begun(known.untilMs(), false));
  }

  /** The ids that are kept, oldest first. */
  public List<String> ids(double nowMs) {
    dropOld(nowMs);
    return new ArrayList<>(begun.keySet());
  }

  private void dropOld(double nowMs) {
    Iterator<Begun> oldest = begun.values().iterator();
    while (oldest.hasNext() && oldest.next().untilMs() <= nowMs) {
      oldest.remove();
    }
  }
}
