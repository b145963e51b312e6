package willowdoor.epoch;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The record's side of changes of policy: one at a time, in force at all doors or at none. It does no I/O,
 * reads no clock and draws no chance, so that every steward comes to the same.
 *
 * <p>A change is proposed, prepared by each process of each door, decided, holds from one moment on, and is
 * known. It is decided once every process has said yes or is fenced: has not been heard for so long that by
 * its own clock it decides nothing any more (Gray and Cheriton's leases, turned round). One no, the time
 * limit or an operator's word aborts it before that, and nothing does afterwards. That the decision is an
 * entry of a log that a majority keeps is what two-phase commit lacks where its coordinator dies (Gray and
 * Lamport, <i>Consensus on Transaction Commit</i>, 2006); that it holds a margin later is Spanner's commit
 * wait on clocks which need not be set (Corbett et al., 2012).
 *
 * <p>The moment is by the clock of the leader under whom it was decided. If another leads before it is past,
 * doors that hear so go by both policies until a moment of that leader's clock: {@link
 * PolicyChange.Stage#UNSURE}.
 */
public final class EpochCoordinator {

  /** Changes that are remembered; the oldest goes first. */
  static final int MAX_PAST_CHANGES = 100;
  /** Names in a reason; the others are counted. */
  private static final int MAX_NAMED_MEMBERS = 5;

  private EpochSettings settings;
  private long lastEpoch;
  private PolicyDocument current;
  private PolicyDocument previous;
  private PolicyChange change;
  private final List<PastChange> log;

  /** Goes on from there. */
  public EpochCoordinator(EpochState state) {
    settings = state.terms();
    lastEpoch = state.last();
    current = state.current();
    previous = state.previous();
    change = state.change();
    log = new ArrayList<>(state.log());
  }

  /** How it stands. */
  public EpochState state() {
    return new EpochState(settings, lastEpoch, current, previous, change, log);
  }

  /**
   * Other terms, which count from now on.
   *
   * @throws IllegalStateException while a change is under way: doors count by what they were told
   */
  public void updateSettings(EpochSettings newSettings) {
    if (change != null) {
      throw new IllegalStateException("epoch " + change.document().epoch() + " is under way");
    }
    settings = newSettings;
  }

  /**
   * Proposes a document.
   *
   * @param replaces the epoch that its author saw in force; guards against two who each don't know of the
   *     other
   * @return its epoch
   * @throws IllegalArgumentException in words, where it can't be proposed now
   */
  public long propose(double nowMs, String text, String hash, long replaces, String by, String reason) {
    if (change != null) {
      throw new IllegalArgumentException("epoch " + change.document().epoch() + " by "
          + change.document().by()
          + " is under way: " + change.stage().name().toLowerCase(java.util.Locale.ROOT));
    }
    if (replaces != current.epoch()) {
      throw new IllegalArgumentException("it replaces epoch " + replaces + ", and epoch " + current.epoch()
          + " by " + current.by() + " is in force (expected: one that was written for that)");
    }
    int bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8).length;
    if (bytes > PolicyDocument.MAX_BYTES) {
      throw new IllegalArgumentException("a document of " + bytes + " bytes (expected: "
          + PolicyDocument.MAX_BYTES
          + " at most)");
    }
    PolicyDocument document = new PolicyDocument(lastEpoch + 1, hash, text, by, reason, replaces);
    if (!document.hashMatches()) {
      throw new IllegalArgumentException("the document is not whole: its hash is not " + hash);
    }
    lastEpoch++;
    change = new PolicyChange(document, PolicyChange.Stage.PREPARING, nowMs, 0);
    return lastEpoch;
  }

  /**
   * An operator's word against a change.
   *
   * @throws IllegalArgumentException in words, where it is over or decided
   */
  public void abort(double nowMs, long epoch, String by) {
    if (change == null || change.document().epoch() != epoch) {
      throw new IllegalArgumentException("epoch " + epoch + " is not under way" + log.stream()
          .filter(x -> x.epoch() == epoch).findFirst().map(x -> x.held() ? ": it came to hold"
              : ": " + x.why()).orElse(""));
    }
    if (change.stage() != PolicyChange.Stage.PREPARING) {
      throw new IllegalArgumentException("epoch " + epoch + " is decided; " + current.epoch()
          + " can be proposed again once it holds");
    }
    endChange(nowMs, false, "aborted by " + by);
  }

  /** Another steward leads: what its predecessor's clock says of a moment to come is not known. */
  public void onLeaderElected(double nowMs) {
    if (change != null
        && (change.stage() == PolicyChange.Stage.DECIDED || change.stage() == PolicyChange.Stage.UNSURE)) {
      change = change.withStage(PolicyChange.Stage.UNSURE, nowMs, nowMs + settings.marginMs());
    }
  }

  /** Goes on by what the processes have said until now. */
  public void advance(double nowMs, List<EpochMember> members) {
    if (change != null && change.stage() == PolicyChange.Stage.PREPARING) {
      advancePreparation(nowMs, members);
    }
    if (change != null
        && (change.stage() == PolicyChange.Stage.DECIDED || change.stage() == PolicyChange.Stage.UNSURE)
        && nowMs >= change.holdMs()) {
      previous = current;
      current = change.document();
      change = change.withStage(PolicyChange.Stage.HOLDS, nowMs, change.holdMs());
    }
    if (change != null && change.stage() == PolicyChange.Stage.HOLDS
        && members.stream().allMatch(x -> x.hasAdopted(current.epoch(), nowMs))) {
      endChange(nowMs, true, "");
    }
  }

  private void advancePreparation(double nowMs, List<EpochMember> members) {
    long epoch = change.document().epoch();
    List<EpochMember> refusing = members.stream().filter(x -> x.word().refused() == epoch).toList();
    if (!refusing.isEmpty()) {
      endChange(nowMs, false, refusing.get(0).name() + " says no: " + refusing.get(0).word().why());
    } else if (members.stream().allMatch(x -> x.isReadyFor(epoch, nowMs))) {
      change = change.withStage(PolicyChange.Stage.DECIDED, nowMs, nowMs + settings.marginMs());
    } else if (nowMs - change.sinceMs() >= settings.prepareMs()) {
      endChange(nowMs, false,
          "not prepared within " + Math.round(settings.prepareMs()) + " ms by " + describeBlockers(nowMs,
          members));
    }
  }

  /** Who holds the change up, in words; empty where nobody does. */
  public String describeBlockers(double nowMs, List<EpochMember> members) {
    if (change == null) {
      return "";
    }
    long epoch = change.document().epoch();
    List<String> names = members.stream().filter(x -> change.stage() == PolicyChange.Stage.PREPARING
        ? !x.isReadyFor(epoch, nowMs) : !x.hasAdopted(epoch, nowMs))
        .map(EpochMember::name).toList();
    return names.stream().limit(MAX_NAMED_MEMBERS).collect(Collectors.joining(", "))
        + (names.size() > MAX_NAMED_MEMBERS
        ? " and " + (names.size() - MAX_NAMED_MEMBERS) + " others" : "");
  }

  private void endChange(double nowMs, boolean held, String why) {
    PolicyDocument document = change.document();
    log.add(new PastChange(document.epoch(), document.hash(), document.by(), document.reason(), held, why,
        nowMs));
    if (log.size() > MAX_PAST_CHANGES) {
      log.remove(0);
    }
    change = null;
  }

  /** What a door is told. */
  public EpochView view(double nowMs) {
    return new EpochView(nowMs, current.epoch(), current.hash(), change == null ? 0
        : change.document().epoch(),
        change == null ? "" : change.document().hash(), change == null ? null : change.stage(),
        change == null ? 0 : change.holdMs(), settings.fenceMs(), settings.marginMs());
  }

  /** The document of that epoch, as long as any door may need it; null for others. */
  public PolicyDocument document(long epoch) {
    if (change != null && change.document().epoch() == epoch) {
      return change.document();
    }
    return current.epoch() == epoch ? current : previous.epoch() == epoch ? previous : null;
  }
}
