package willowdoor.steward;

import io.microraft.statemachine.StateMachine;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import willowdoor.agreement.Command;
import willowdoor.agreement.Command.LeaderElected;
import willowdoor.agreement.FleetStateMachine;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.FleetSettings;

/**
 * The fleet record as MicroRaft's state machine: applies encoded commands, returns their outcomes, and reads
 * and writes snapshots in chunks.
 */
final class RaftStateMachine implements StateMachine {

  /** Maximum size of a snapshot chunk; one message carries one chunk. */
  static final int CHUNK_BYTES = 256 << 10;

  private final DoubleSupplier now;
  private final Runnable onNewTerm;
  private FleetStateMachine record = new FleetStateMachine(FleetSettings.UNCONFIGURED);

  /**
   * Creates an empty record.
   *
   * @param now this steward's monotonic clock, in milliseconds
   * @param onNewTerm run when a term's first entry was committed, whichever steward leads
   */
  RaftStateMachine(DoubleSupplier now, Runnable onNewTerm) {
    this.now = now;
    this.onNewTerm = onNewTerm;
  }

  FleetStateMachine record() {
    return record;
  }

  @Override
  public Object runOperation(long commitIndex, Object operation) {
    Command command = Codec.readCommand((byte[]) operation);
    Outcome outcome = record.apply(command);
    if (command instanceof LeaderElected) {
      onNewTerm.run();
    }
    return outcome;
  }

  @Override
  public void takeSnapshot(long commitIndex, Consumer<Object> pieces) {
    byte[] all = Codec.bytes(record.state());
    for (int from = 0; from < all.length; from += CHUNK_BYTES) {
      pieces.accept(Arrays.copyOfRange(all, from, Math.min(all.length, from + CHUNK_BYTES)));
    }
  }

  @Override
  public void installSnapshot(long commitIndex, List<Object> pieces) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    pieces.forEach(piece -> all.writeBytes((byte[]) piece));
    record = new FleetStateMachine(Codec.readState(all.toByteArray()));
  }

  /**
   * The first entry of each term: from here on the new leader's clock counts, and every lease starts anew.
   */
  @Override
  public Object getNewTermOperation() {
    return Codec.bytes(new LeaderElected(now.getAsDouble()));
  }
}
