package willowdoor.net;

import willowdoor.memory.Holder;
import willowdoor.memory.MemoryBudget;

/** What one client's connection makes the process hold, as part of the budget that all connections share. */
final class ConnectionMemory {

  /** What a piece of an answer takes in the queue of its connection, besides its bytes. */
  private static final int ANSWER_OVERHEAD_BYTES = 256;

  private final MemoryBudget budget;
  private long receivingBytes;
  private long waitingBytes;
  /** Of the request in progress; the driver counts them in the budget. */
  private long currentBytes;
  private long answerBytes;

  ConnectionMemory(MemoryBudget budget) {
    this.budget = budget;
  }

  private long ownBytes() {
    return receivingBytes + waitingBytes + currentBytes + answerBytes;
  }

  /**
   * Sets what the request that is being received takes so far. Returns false if it takes more than before,
   * and more than is admitted.
   */
  boolean setReceiving(long bytes) {
    boolean grows = bytes > receivingBytes;
    budget.add(Holder.RECEIVING, bytes - receivingBytes);
    receivingBytes = bytes;
    return !grows || budget.admits(Holder.RECEIVING, ownBytes(), 0);
  }

  /** Adds a complete request that waits to be handled, if it is admitted; returns whether it is. */
  boolean addWaiting(boolean behindAnother, long bytes) {
    if (!budget.admits(behindAnother ? Holder.WAITING : Holder.ACCEPTED, ownBytes(), bytes)) {
      return false;
    }
    waitingBytes += bytes;
    budget.add(Holder.WAITING, bytes);
    return true;
  }

  void removeWaiting(long bytes) {
    waitingBytes -= bytes;
    budget.remove(Holder.WAITING, bytes);
  }

  /** Sets what the request in progress takes; 0 once it is answered. */
  void setCurrent(long bytes) {
    currentBytes = bytes;
  }

  /** Adds so many bytes of an answer; returns what is to be removed once they are written. */
  long addAnswer(int bytes) {
    long held = bytes + ANSWER_OVERHEAD_BYTES;
    answerBytes += held;
    budget.add(Holder.ANSWERS, held);
    return held;
  }

  void removeAnswer(long held) {
    answerBytes -= held;
    budget.remove(Holder.ANSWERS, held);
  }

  /** Whether part of an answer is not written to the client's socket. */
  boolean hasUnwrittenAnswer() {
    return answerBytes > 0;
  }

  /** Whether a further piece of an answer, or the next answer, may be added to what is not written yet. */
  boolean admitsMoreAnswer() {
    return answerBytes == 0 || budget.admits(Holder.ANSWERS, answerBytes, Holder.PIECE_FLOOR_BYTES);
  }
}
