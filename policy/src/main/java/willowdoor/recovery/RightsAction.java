package willowdoor.recovery;

/** An action that {@link CeilingRights} asks its caller to perform. */
public sealed interface RightsAction {

  /**
   * The share of the firm's ceiling that this door may use by itself; always the first action that answers
   * {@link RightsEvent.Requested}.
   *
   * @param share the share until {@code untilMs}, from 0 to 1
   * @param untilMs when {@code share} ends; positive infinity if it does not
   * @param shareAfter the share from {@code untilMs} on, unless another action replaces it
   */
  record Share(double share, double untilMs, double shareAfter) implements RightsAction { }

  /** Add to a name at the counter; the end of the call is reported as {@link RightsEvent.CallEnded}. */
  record Call(String name, double amount, double ttlMs) implements RightsAction { }

  /** Send {@link RightsEvent.Woken} at this time. */
  record WakeAt(double atMs) implements RightsAction { }
}
