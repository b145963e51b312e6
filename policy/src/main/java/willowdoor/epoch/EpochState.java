package willowdoor.epoch;

import java.util.List;

/**
 * All that the record knows of policies; one that is made from this goes on as the first would.
 *
 * @param last the epoch that was given out last
 * @param current what is in force
 * @param previous what was in force before; {@link PolicyDocument#NONE} where there was none
 * @param change what is under way; null for nothing
 * @param log of changes that are over, the oldest first
 */
public record EpochState(EpochSettings terms, long last, PolicyDocument current, PolicyDocument previous,
    PolicyChange change,
    List<PastChange> log) {

  /** Before the first change. */
  public static final EpochState INITIAL =
      new EpochState(EpochSettings.DEFAULTS, 0, PolicyDocument.NONE, PolicyDocument.NONE,
      null,
      List.of());

  /** Keeps a copy. */
  public EpochState {
    log = List.copyOf(log);
  }
}
