package willowdoor.epoch;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The replicated side of policy changes: one change at a time, in force at all doors or at none. It does no
 * I/O, reads no clock and uses no randomness, so every replica reaches the same state.
 *
 * <p>A change is proposed, prepared by each process of each door, decided, in force from one switch time on,
 * and completed once all processes have reported that they use it. The change is decided once every process
 * has accepted it or is fenced: the process has had no contact for so long that by its own clock it refuses
 * all requests (the inverse of the leases of Gray and Cheriton). A refusal, the prepare timeout or an
 * operator aborts the change before the decision; nothing aborts it afterwards. The decision is an entry of a
 * log that a majority keeps, which two-phase commit lacks when its coordinator fails (Gray and Lamport,
 * <i>Consensus on Transaction Commit</i>, 2006). The margin between the decision and the switch time is
 * Spanner's commit wait, with clocks that need not be synchronised (Corbett et al., 2012).
 *
 * <p>The switch time refers to the clock of the leader under which the change was decided. If another leader
 * is elected before the switch time, doors that learn of it require both policies until a new switch time by
 * the new leader's clock: {@link PolicyChange.Stage#UNSURE}.
 */
public final class EpochCoordinator {

  /** The maximum number of past changes kept; the oldest is dropped first. */
  static final int MAX_PAST_CHANGES = 100;
  /** The maximum number of members named in a reason; the others are only counted. */
  private static final int MAX_NAMED_MEMBERS = 5;

  private EpochSettings settings;
  private long lastEpoch;
  private PolicyDocument current;
  private PolicyDocument previous;
  private PolicyChange change;
  private final List<PastChange> log;

  /** Restores a coordinator from a snapshot. */
  public EpochCoordinator(EpochState state) {
    settings = state.terms();
    lastEpoch = state.last();
    current = state.current();
    previous = state.previous();
    change = state.change();
    log = new ArrayList<>(state.log());
  }

  /** Takes a snapshot of the state. */
  public EpochState state() {
    return new EpochState(settings, lastEpoch, current, previous, change, log);
  }

  /**
   * Replaces the settings from now on.
   *
   * @throws IllegalStateException while a change is in progress, because doors use the limits that they were
   *     told
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
   * @param replaces the epoch that the author saw in force, which guards against two authors who do not know
   *     of each other's documents
   * @return the epoch of the document
   * @throws IllegalArgumentException with the reason, if the document cannot be proposed now
   */
  public long propose(double nowMs, String text, String hash, long replaces, String by, String reason) {
    if (change != null) {
      throw new IllegalArgumentException("epoch " + change.document().epoch() + " by "
          + change.document().by()
          + " is under way: " + change.stage().name().toLowerCase(java.util.Locale.ROOT));
    }
    if (replaces != current.epoch()) {
      throw new IllegalArgumentException("the document replaces epoch " + replaces + ", but epoch "
          + current.epoch()
          + " by " + current.by() + " is in force (expected: a document that replaces the epoch in force)");
    }
    int bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8).length;
    if (bytes > PolicyDocument.MAX_BYTES) {
      throw new IllegalArgumentException("a document of " + bytes + " bytes (expected: "
          + PolicyDocument.MAX_BYTES
          + " at most)");
    }
    PolicyDocument document = new PolicyDocument(lastEpoch + 1, hash, text, by, reason, replaces);
    if (!document.hashMatches()) {
      throw new IllegalArgumentException("the document is corrupted: the hash of its text is not " + hash);
    }
    lastEpoch++;
    change = new PolicyChange(document, PolicyChange.Stage.PREPARING, nowMs, 0);
    return lastEpoch;
  }

  /**
   * Aborts a change on behalf of an operator.
   *
   * @throws IllegalArgumentException with the reason, if the change has ended or is decided
   */
  public void abort(double nowMs, long epoch, String by) {
    if (change == null || change.document().epoch() != epoch) {
      throw new IllegalArgumentException("epoch " + epoch + " is not under way" + log.stream()
          .filter(x -> x.epoch() == epoch).findFirst().map(x -> x.held() ? ": it came into force"
              : ": " + x.why()).orElse(""));
    }
    if (change.stage() != PolicyChange.Stage.PREPARING) {
      throw new IllegalArgumentException("epoch " + epoch + " is decided; " + current.epoch()
          + " can be proposed again once it holds");
    }
    endChange(nowMs, false, "aborted by " + by);
  }

  /** Another leader was elected: its clock is unrelated to the switch time by its predecessor's clock. */
  public void onLeaderElected(double nowMs) {
    if (change != null
        && (change.stage() == PolicyChange.Stage.DECIDED || change.stage() == PolicyChange.Stage.UNSURE)) {
      change = change.withStage(PolicyChange.Stage.UNSURE, nowMs, nowMs + settings.marginMs());
    }
  }

  /** Advances the change by what the processes have reported so far. */
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
      endChange(nowMs, false,
          refusing.get(0).name() + " refuses the change: " + refusing.get(0).word().why());
    } else if (members.stream().allMatch(x -> x.isReadyFor(epoch, nowMs))) {
      change = change.withStage(PolicyChange.Stage.DECIDED, nowMs, nowMs + settings.marginMs());
    } else if (nowMs - change.sinceMs() >= settings.prepareMs()) {
      endChange(nowMs, false,
          "not prepared within " + Math.round(settings.prepareMs()) + " ms by " + describeBlockers(nowMs,
          members));
    }
  }

  /** The names of the members that delay the change, as text; empty if none does. */
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

  /** The view for the answer to a heartbeat. */
  public EpochView view(double nowMs) {
    return new EpochView(nowMs, current.epoch(), current.hash(), change == null ? 0
        : change.document().epoch(),
        change == null ? "" : change.document().hash(), change == null ? null : change.stage(),
        change == null ? 0 : change.holdMs(), settings.fenceMs(), settings.marginMs());
  }

  /**
   * The document of an epoch that a door may need: of the change in progress, current or previous; otherwise
   * null.
   */
  public PolicyDocument document(long epoch) {
    if (change != null && change.document().epoch() == epoch) {
      return change.document();
    }
    return current.epoch() == epoch ? current : previous.epoch() == epoch ? previous : null;
  }
}
