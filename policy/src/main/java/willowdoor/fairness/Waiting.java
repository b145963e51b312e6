package willowdoor.fairness;

import willowdoor.fairness.FairEvent.Arrived;

/** A request from its arrival until it is over. */
final class Waiting {

  final Arrived request;
  final Flow leaf;
  final long number;
  final double arrivedMs;
  /** It has to be let through by then, or an answer is of no use. */
  final double latestMs;
  /** What it is charged; settled when it ends. */
  final double cost;
  /** It came back when it was told to. */
  final boolean promised;
  /** It waits ahead of all turns. */
  boolean expressed;
  double releasedMs = Double.NaN;
  /** Its neighbours in its flow. */
  Waiting before;
  Waiting after;

  Waiting(Arrived request, Flow leaf, long number, double arrivedMs, double latestMs, double cost,
      boolean promised) {
    this.request = request;
    this.leaf = leaf;
    this.number = number;
    this.arrivedMs = arrivedMs;
    this.latestMs = latestMs;
    this.cost = cost;
    this.promised = promised;
  }

  Firm firm() {
    return leaf.parent.firm;
  }
}
