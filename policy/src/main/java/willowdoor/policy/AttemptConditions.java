package willowdoor.policy;

/**
 * What the policy took for granted when it decided on an attempt. An attempt waits for a connection, and a
 * long request for its backend to read it, so this is checked again when the attempt has its effect: before
 * the first byte is written ({@link AttemptStart}), and until the backend has the last one.
 *
 * @param beginByMs when the first byte must be written at the latest; infinity if there is no such limit
 * @param completeByMs when the backend must have the whole request at the latest, or infinity: a request
 *     begins with its last byte
 * @param backendStartedMs start of the backend that was chosen, as the roster reported it
 * @param replaceable whether another attempt may follow if the answer to this one stalls
 */
public record AttemptConditions(double beginByMs, double completeByMs, double backendStartedMs,
    boolean replaceable) {

  /** Conditions of an attempt without limits of its own, at a backend that started long ago. */
  public static final AttemptConditions NONE =
      new AttemptConditions(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0, true);
}
