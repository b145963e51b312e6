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

/** The record as the library's state machine: bytes of commands in, outcomes out, snapshots in pieces. */
final class RaftStateMachine implements StateMachine {

  /** A piece of a snapshot has so many bytes at most, as one message carries it. */
  static final int CHUNK_BYTES = 256 << 10;

  private final DoubleSupplier now;
  private final Runnable onNewTerm;
  private FleetStateMachine record = new FleetStateMachine(FleetSettings.UNCONFIGURED);

  /**
   * For one steward.
   *
   * @param onNewTerm run when a term's first entry has been agreed on, whoever leads
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

  /** The first entry of each term: from here on this leader's clock counts, and every lease anew. */
  @Override
  public Object getNewTermOperation() {
    return Codec.bytes(new LeaderElected(now.getAsDouble()));
  }
}
