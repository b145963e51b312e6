package willowdoor.epoch;

import java.util.List;

/**
 * A snapshot of the replicated state of policies. A coordinator restored from a snapshot continues exactly as
 * the original.
 *
 * @param last the epoch that was assigned last
 * @param current the policy in force
 * @param previous the policy that was in force before; {@link PolicyDocument#NONE} if there was none
 * @param change the change in progress, or null
 * @param log the completed and aborted changes, the oldest first
 */
public record EpochState(EpochSettings terms, long last, PolicyDocument current, PolicyDocument previous,
    PolicyChange change,
    List<PastChange> log) {

  /** The state before the first change. */
  public static final EpochState INITIAL = new EpochState(EpochSettings.DEFAULTS, 0, PolicyDocument.NONE,
      PolicyDocument.NONE,
      null,
      List.of());

  /** Makes a defensive copy. */
  public EpochState {
    log = List.copyOf(log);
  }
}
