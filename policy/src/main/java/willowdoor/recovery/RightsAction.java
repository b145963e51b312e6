package willowdoor.recovery;

/** What {@link CeilingRights} has done. */
public sealed interface RightsAction {

  /**
   * The answer to {@link RightsEvent.Requested}, and its first action: the share of the firm's ceiling that
   * this
   * door may use by itself.
   *
   * @param share from 0 to 1, until a moment
   * @param untilMs the moment; what it granted after it is the share named last
   * @param shareAfter the share from that moment on, unless another is told
   */
  record Share(double share, double untilMs, double shareAfter) implements RightsAction { }

  /** Add to a name at the counter; its end is told as {@link RightsEvent.CallEnded}. */
  record Call(String name, double amount, double ttlMs) implements RightsAction { }

  /** Be woken then. */
  record WakeAt(double atMs) implements RightsAction { }
}
