package willowdoor.memory;

/**
 * Decides whether a peer may make the process hold further bytes, and counts the bytes held by all
 * {@link Holder}s together. A connection may always hold its floor, so clients with requests of usual size
 * are served while others fill the pool; what exceeds the floor is admitted while the total stays below the
 * holder's share of the pool. The total is therefore bounded by the pool and the floors of all connections.
 * The shares differ so that work that has advanced further is not blocked by work that has just begun.
 */
public final class MemoryBudget {

  private final long configuredPoolBytes;
  /** By the holders' ordinals. */
  private final long[] heldBytes = new long[Holder.values().length];
  private long poolBytes;
  private long totalBytes;
  private long peakBytes;
  private long rejections;

  /** A budget with a pool of so many bytes. */
  public MemoryBudget(long poolBytes) {
    this.configuredPoolBytes = poolBytes;
    this.poolBytes = poolBytes;
  }

  /** Limits this process to a share of its pool from now on; what is held stays. */
  public void setShare(double share) {
    poolBytes = (long) (configuredPoolBytes * share);
  }

  /**
   * Whether a connection may hold more.
   *
   * @param holder where the further bytes would be
   * @param ownBytes what the connection holds already, wherever it does
   * @param moreBytes the further bytes; 0 if they are among what it holds
   */
  public boolean admits(Holder holder, long ownBytes, long moreBytes) {
    boolean admitted = ownBytes + moreBytes <= holder.floorBytes()
        || totalBytes + moreBytes <= poolBytes * holder.shareOfPool();
    if (!admitted) {
      rejections++;
    }
    return admitted;
  }

  /** Counts further bytes as held. */
  public void add(Holder holder, long bytes) {
    heldBytes[holder.ordinal()] += bytes;
    totalBytes += bytes;
    peakBytes = Math.max(peakBytes, totalBytes);
  }

  /** Counts bytes as held no longer. */
  public void remove(Holder holder, long bytes) {
    add(holder, -bytes);
  }

  /** What may be held beyond the floors at present. */
  public long poolBytes() {
    return poolBytes;
  }

  public long totalBytes() {
    return totalBytes;
  }

  /** The largest total so far. */
  public long peakBytes() {
    return peakBytes;
  }

  public long heldBytes(Holder holder) {
    return heldBytes[holder.ordinal()];
  }

  /** How often more was asked for than was admitted. */
  public long rejections() {
    return rejections;
  }

  /** The bytes by holder, for a log line. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(128).append("total=").append(totalBytes).append(" peak=")
        .append(peakBytes).append(" pool=").append(poolBytes).append(" rejections=").append(rejections);
    for (Holder holder : Holder.values()) {
      text.append(' ').append(holder).append('=').append(heldBytes(holder));
    }
    return text.toString();
  }
}
