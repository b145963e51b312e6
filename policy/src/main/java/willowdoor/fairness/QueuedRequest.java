package willowdoor.fairness;

import willowdoor.fairness.FairEvent.Arrived;

/** A request from its arrival until its end, both while it waits and after its release. */
final class QueuedRequest {

  final Arrived arrival;
  final Flow flow;
  final long sequenceNumber;
  final double arrivedMs;
  /** Latest time of release at which the answer is still expected to be useful. */
  final double latestReleaseMs;
  /** Cost charged on release; corrected when the request ends. */
  final double cost;
  /** Whether the client came at a promised time. */
  final boolean hasPromise;
  /** Whether the request waits in the express queue, ahead of the fair order. */
  boolean isExpress;
  double releasedMs = Double.NaN;
  /** Neighbours in the list of the flow. */
  QueuedRequest previous;
  QueuedRequest next;

  QueuedRequest(Arrived arrival, Flow flow, long sequenceNumber, double arrivedMs, double latestReleaseMs,
      double cost, boolean hasPromise) {
    this.arrival = arrival;
    this.flow = flow;
    this.sequenceNumber = sequenceNumber;
    this.arrivedMs = arrivedMs;
    this.latestReleaseMs = latestReleaseMs;
    this.cost = cost;
    this.hasPromise = hasPromise;
  }

  Firm firm() {
    return flow.parent.firm;
  }
}
