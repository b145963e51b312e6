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
 * doors that hear so go by both policies until a moment of that leader's clock: {@link Change.Stage#UNSURE}.
 */
public final class Epochs {

  /** Changes that are remembered; the oldest goes first. */
  static final int MOST_PAST = 100;
  /** Names in a reason; the others are counted. */
  private static final int MOST_NAMED = 5;

  private EpochTerms terms;
  private long last;
  private Document current;
  private Document previous;
  private Change change;
  private final List<Past> log;

  /** Goes on from there. */
  public Epochs(EpochState state) {
    terms = state.terms();
    last = state.last();
    current = state.current();
    previous = state.previous();
    change = state.change();
    log = new ArrayList<>(state.log());
  }

  /** How it stands. */
  public EpochState state() {
    return new EpochState(terms, last, current, previous, change, log);
  }

  /**
   * Other terms, which count from now on.
   *
   * @throws IllegalStateException while a change is under way: doors count by what they were told
   */
  public void terms(EpochTerms other) {
    if (change != null) {
      throw new IllegalStateException("epoch " + change.document().epoch() + " is under way");
    }
    terms = other;
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
    if (bytes > Document.MOST_BYTES) {
      throw new IllegalArgumentException("a document of " + bytes + " bytes (expected: " + Document.MOST_BYTES
          + " at most)");
    }
    Document document = new Document(last + 1, hash, text, by, reason, replaces);
    if (!document.isWhole()) {
      throw new IllegalArgumentException("the document is not whole: its hash is not " + hash);
    }
    last++;
    change = new Change(document, Change.Stage.PREPARING, nowMs, 0);
    return last;
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
    if (change.stage() != Change.Stage.PREPARING) {
      throw new IllegalArgumentException("epoch " + epoch + " is decided; " + current.epoch()
          + " can be proposed again once it holds");
    }
    end(nowMs, false, "aborted by " + by);
  }

  /** Another steward leads: what its predecessor's clock says of a moment to come is not known. */
  public void led(double nowMs) {
    if (change != null && (change.stage() == Change.Stage.DECIDED || change.stage() == Change.Stage.UNSURE)) {
      change = change.at(Change.Stage.UNSURE, nowMs, nowMs + terms.marginMs());
    }
  }

  /** Goes on by what the processes have said until now. */
  public void settle(double nowMs, List<Member> members) {
    if (change != null && change.stage() == Change.Stage.PREPARING) {
      prepare(nowMs, members);
    }
    if (change != null && (change.stage() == Change.Stage.DECIDED || change.stage() == Change.Stage.UNSURE)
        && nowMs >= change.holdMs()) {
      previous = current;
      current = change.document();
      change = change.at(Change.Stage.HOLDS, nowMs, change.holdMs());
    }
    if (change != null && change.stage() == Change.Stage.HOLDS
        && members.stream().allMatch(x -> x.goesBy(current.epoch(), nowMs))) {
      end(nowMs, true, "");
    }
  }

  private void prepare(double nowMs, List<Member> members) {
    long epoch = change.document().epoch();
    List<Member> against = members.stream().filter(x -> x.word().refused() == epoch).toList();
    if (!against.isEmpty()) {
      end(nowMs, false, against.get(0).name() + " says no: " + against.get(0).word().why());
    } else if (members.stream().allMatch(x -> x.isReadyFor(epoch, nowMs))) {
      change = change.at(Change.Stage.DECIDED, nowMs, nowMs + terms.marginMs());
    } else if (nowMs - change.sinceMs() >= terms.prepareMs()) {
      end(nowMs, false, "not prepared within " + Math.round(terms.prepareMs()) + " ms by " + holdUp(nowMs,
          members));
    }
  }

  /** Who holds the change up, in words; empty where nobody does. */
  public String holdUp(double nowMs, List<Member> members) {
    if (change == null) {
      return "";
    }
    long epoch = change.document().epoch();
    List<String> names = members.stream().filter(x -> change.stage() == Change.Stage.PREPARING
        ? !x.isReadyFor(epoch, nowMs) : !x.goesBy(epoch, nowMs))
        .map(Member::name).toList();
    return names.stream().limit(MOST_NAMED).collect(Collectors.joining(", ")) + (names.size() > MOST_NAMED
        ? " and " + (names.size() - MOST_NAMED) + " others" : "");
  }

  private void end(double nowMs, boolean held, String why) {
    Document x = change.document();
    log.add(new Past(x.epoch(), x.hash(), x.by(), x.reason(), held, why, nowMs));
    if (log.size() > MOST_PAST) {
      log.remove(0);
    }
    change = null;
  }

  /** What a door is told. */
  public EpochView view(double nowMs) {
    return new EpochView(nowMs, current.epoch(), current.hash(), change == null ? 0
        : change.document().epoch(),
        change == null ? "" : change.document().hash(), change == null ? null : change.stage(),
        change == null ? 0 : change.holdMs(), terms.fenceMs(), terms.marginMs());
  }

  /** The document of that epoch, as long as any door may need it; null for others. */
  public Document document(long epoch) {
    if (change != null && change.document().epoch() == epoch) {
      return change.document();
    }
    return current.epoch() == epoch ? current : previous.epoch() == epoch ? previous : null;
  }
}
