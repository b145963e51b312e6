package willowdoor.memory;

/**
 * The places in which bytes that peers sent, or made the process send, stay for a while. Each has a floor,
 * which every connection may hold there whatever the others hold, and a share of the common pool up to which
 * it may hold more.
 */
public enum Holder {

  /** A client's request that has not arrived completely. */
  RECEIVING(Holder.CLIENT_FLOOR_BYTES, 0.75),
  /** A client's complete request behind another one on its connection. */
  WAITING(Holder.CLIENT_FLOOR_BYTES, 0.5),
  /** A request from its acceptance until it is answered and no attempt of it is in flight. */
  ACCEPTED(Holder.CLIENT_FLOOR_BYTES, 0.75),
  /** A backend's response that is held until it is complete. */
  RESPONSES(Holder.RESPONSE_FLOOR_BYTES, 1),
  /** An answer on its way to its client that the client's socket has not taken. */
  ANSWERS(Holder.PIECE_FLOOR_BYTES, 0.9);

  /** A request of usual size, with what its head takes as objects. */
  public static final int CLIENT_FLOOR_BYTES = 8 * 1024;
  /** A response of usual size. */
  public static final int RESPONSE_FLOOR_BYTES = 8 * 1024;
  /** One read of a backend's connection. */
  public static final int PIECE_FLOOR_BYTES = 16 * 1024;

  private final int floorBytes;
  private final double shareOfPool;

  Holder(int floorBytes, double shareOfPool) {
    this.floorBytes = floorBytes;
    this.shareOfPool = shareOfPool;
  }

  int floorBytes() {
    return floorBytes;
  }

  double shareOfPool() {
    return shareOfPool;
  }
}
