package willowdoor.fairness;

import willowdoor.fairness.FairEvent.Arrived;

/** A request from its arrival until it is over. */
final class QueuedRequest {

  final Arrived arrival;
  final Flow flow;
  final long sequenceNumber;
  final double arrivedMs;
  /** It has to be let through by then, or an answer is of no use. */
  final double latestReleaseMs;
  /** What it is charged; settled when it ends. */
  final double cost;
  /** It came back when it was told to. */
  final boolean hasPromise;
  /** It waits ahead of all turns. */
  boolean isExpress;
  double releasedMs = Double.NaN;
  /** Its neighbours in its flow. */
  QueuedRequest previous;
  QueuedRequest next;

  QueuedRequest(Arrived arrival, Flow flow, long sequenceNumber, double arrivedMs, double latestReleaseMs,
      double cost,
      boolean hasPromise) {
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
