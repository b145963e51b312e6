package willowdoor.steward.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.agreement.Budget;
import willowdoor.agreement.Command;
import willowdoor.agreement.Command.Activity;
import willowdoor.agreement.OutageLimit;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.Subject;
import willowdoor.agreement.Subject.Kind;
import willowdoor.agreement.FleetSettings;
import willowdoor.steward.StewardId;

/** A single steward, and connections to its address. */
@Timeout(60)
class LinkTest {

  private static final long LIMIT_MS = 10_000;
  private static final long WITHOUT_STEWARDS_MS = 500;
  @TempDir
  private Path folder;
  private StewardProcess steward;

  @BeforeEach
  void start() throws Exception {
    steward = new StewardProcess(settings(true));
  }

  @AfterEach
  void close() throws Exception {
    steward.close();
  }

  private StewardProcess.Settings settings(boolean begin) {
    StewardId self = new StewardId("a", "1");
    InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
    Budget one = new Budget(OutageLimit.of(1), OutageLimit.UNLIMITED, 0);
    return new StewardProcess.Settings("f", self, any, folder.resolve("a.db"), Map.of(self, any),
        new FleetSettings(one, one, 1_500), begin ? StewardProcess.Start.BEGIN : StewardProcess.Start.GO_ON);
  }

  private OperatorClient operator(String fleet) {
    return new OperatorClient(fleet, "ana", List.of(steward.address()));
  }

  /** Sends frames and returns what the steward answers until it closes the connection. */
  private String exchange(byte[]... frames) throws IOException {
    try (Socket s = new Socket(steward.address().getAddress(), steward.address().getPort())) {
      s.setSoTimeout((int) LIMIT_MS);
      DataOutputStream out = new DataOutputStream(s.getOutputStream());
      for (byte[] frame : frames) {
        out.writeInt(frame.length);
        out.write(frame);
      }
      DataInputStream in = new DataInputStream(s.getInputStream());
      StringBuilder text = new StringBuilder();
      try {
        while (true) {
          text.append(new String(in.readNBytes(in.readInt()), StandardCharsets.UTF_8)).append('\n');
        }
      } catch (EOFException e) {
        return text.toString();
      }
    }
  }

  private static byte[] json(String text) {
    return ('\0' + text).getBytes(StandardCharsets.UTF_8);
  }

  private static byte[] hello(int least, String group, String role, String name) {
    return json("{\"is\":\"Hello\",\"least\":" + least + ",\"most\":9,\"group\":\"" + group
        + "\",\"role\":\"" + role + "\",\"name\":\"" + name + "\",\"disk\":\"1\"}");
  }

  @Test
  void invalidConnectionsAreRefusedWithReason() throws Exception {
    assertTrue(exchange(hello(3, "f", "DOOR",
        "d1")).contains("link versions 3 to 9 (expected: one from 2 to 2)"));
    assertTrue(exchange(hello(1, "g", "DOOR", "d1")).contains("a steward of \\\"f\\\", not of \\\"g\\\""));
    assertTrue(exchange(hello(1, "f", "STEWARD", "b")).contains("no steward b with disk 1 is one of us"));
    assertTrue(exchange(hello(1, "f", "DOOR", "")).contains("no name was told"));
    assertTrue(exchange(json("{\"is\":\"Ask\",\"id\":1,\"passedOn\":false,\"call\":{\"is\":\"Look\"}}"))
        .contains("the first message is Ask (expected: Hello)"));
    assertTrue(exchange(json("{")).contains("not understood"));
    assertTrue(exchange(new byte[] {7}).contains("a frame of kind 7 (expected: 0 or 1)"));
    assertTrue(exchange(new byte[0]).contains("a frame of kind -1"));
    assertTrue(exchange(json("x".repeat(FrameCodec.MAX_HELLO_BYTES))).contains("not understood"));
    assertTrue(exchange(hello(1, "f", "DOOR", "d1"), new byte[] {1, 2})
        .contains("a message between stewards"));
    assertTrue(exchange().contains("no hello within"));
  }

  /** A peer that vanished silently: written data is lost, and the connection isn't closed. */
  @Test
  void silentStewardLinkIsReconnected() throws Exception {
    try (ServerSocket mute = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      steward.close();
      StewardId self = new StewardId("a", "1");
      InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
      StewardProcess.Settings one = settings(true);
      steward = new StewardProcess(new StewardProcess.Settings("f", self, any, folder.resolve("two.db"),
          Map.of(self, any, new StewardId("b", "1"), new InetSocketAddress("127.0.0.1", mute.getLocalPort())),
          one.initialTerms(), StewardProcess.Start.BEGIN));
      mute.setSoTimeout((int) LIMIT_MS);
      try (Socket first = mute.accept()) {
        byte[] welcome = json("{\"is\":\"Welcome\",\"version\":2,\"steward\":\"b\"}");
        DataOutputStream out = new DataOutputStream(first.getOutputStream());
        out.writeInt(welcome.length);
        out.write(welcome);
        out.flush();
        mute.accept().close();
      }
    }
  }

  /** Operators may not send a door's or a leader's commands. */
  @Test
  void callsOnBehalfOfOthersAreRefused() throws Exception {
    try (OperatorClient ana = operator("f")) {
      Answer answer = ana.put(new Command.Join(0, "d1", "x", "a", 1, 0, "1.0"), LIMIT_MS);
      assertTrue(assertInstanceOf(Answer.Failed.class, answer).why().contains("a Join is not for ana"));
      answer = ana.put(new Command.LeaderElected(0), LIMIT_MS);
      assertTrue(assertInstanceOf(Answer.Failed.class, answer).why().contains("a Lead is not for ana"));
    }
    try (OperatorClient stranger = operator("g")) {
      assertTrue(assertInstanceOf(Answer.Failed.class, stranger.status(500)).why().contains("not of \"g\""));
    }
  }

  /**
   * The committed record survives a restart with the disk; without the disk a steward refuses to start as one
   * that never acknowledged anything.
   */
  @Test
  void restartsWithDiskAndRefusesWithout() throws Exception {
    long before;
    try (OperatorClient ana = operator("f")) {
      ana.put(new Command.Forget(0, "f1", "d9", "ana"), LIMIT_MS);
      before = assertInstanceOf(Answer.Stands.class, ana.status(LIMIT_MS)).standing().index();
    }
    steward.close();
    steward = new StewardProcess(settings(false));
    try (OperatorClient ana = operator("f")) {
      assertTrue(assertInstanceOf(Answer.Stands.class, ana.status(LIMIT_MS)).standing().index() > before);
    }
    steward.close();
    Files.delete(folder.resolve("a.db"));
    assertTrue(assertThrows(IOException.class, () -> new StewardProcess(settings(false))).getMessage()
        .contains("there is no record at"));
    steward = new StewardProcess(settings(true));
  }

  /** A door joins, is drained, reports that it is empty, returns to service, and leaves. */
  @Test
  void doorDrainsAndReturns() throws Exception {
    CompletableFuture<Void> drained = new CompletableFuture<>();
    CompletableFuture<Void> back = new CompletableFuture<>();
    DoorLink door = startDoor("x", 1, steward.address(), () -> drained.complete(null),
        () -> back.complete(null));
    Subject d1 = new Subject(Kind.DOOR, "d1");
    try (OperatorClient ana = operator("f")) {
      door.reportState(Activity.READY);
      while (!(ana.status(LIMIT_MS) instanceof Answer.Stands s && s.standing().lives().size() == 1
          && s.standing().doorsOut() == 0)) {
        Thread.sleep(10);
      }
      assertTrue(door.isInContact());
      Outcome.Granted granted = assertInstanceOf(Outcome.Granted.class,
          door.requestPermit("r1", d1, "ana", "disk", false).get(LIMIT_MS, TimeUnit.MILLISECONDS));
      drained.get(LIMIT_MS, TimeUnit.MILLISECONDS);
      door.reportState(Activity.EMPTY);
      ana.put(new Command.ReturnPermit(0, d1, granted.permit(), "ana"), LIMIT_MS);
      back.get(LIMIT_MS, TimeUnit.MILLISECONDS);
      door.reportState(Activity.READY);
      door.close();
      FleetStatus after = assertInstanceOf(Answer.Stands.class, ana.status(LIMIT_MS)).standing();
      assertEquals(Activity.ENDED, after.lives().get(0).doing());
    }
  }

  /** Guards against a door that goes by the file of an ended process, though more went out meanwhile. */
  @Test
  void theFileOfAnEndedProcessIsNoEvidence() throws Exception {
    DoorLink first = startDoor("x", 1, steward.address(), () -> { }, () -> { });
    first.reportState(Activity.READY);
    first.takenOutKnown().get(LIMIT_MS, TimeUnit.MILLISECONDS);
    Path file = folder.resolve("d1.x");
    byte[] stored = Files.readAllBytes(file);
    first.reportState(Activity.ENDED);
    first.close();
    assertFalse(Files.exists(file));
    assertFalse(isKnownAtStart());
    // A process that was killed leaves its file, and the stewards wait for its word.
    Files.write(file, stored);
    assertTrue(isKnownAtStart());
    // One that cannot be read may name a backend.
    Files.writeString(folder.resolve("d1.w"), "{\"b1\":");
    assertFalse(isKnownAtStart());
  }

  /** Whether a door that is started without any steward knows which backends are out. */
  private boolean isKnownAtStart() throws Exception {
    InetSocketAddress nobody;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      nobody = (InetSocketAddress) free.getLocalSocketAddress();
    }
    DoorLink started = startDoor("y", 2, nobody, () -> { }, () -> { });
    try {
      started.takenOutKnown().get(WITHOUT_STEWARDS_MS, TimeUnit.MILLISECONDS);
      return true;
    } catch (TimeoutException e) {
      return false;
    } finally {
      started.close();
    }
  }

  private DoorLink startDoor(String incarnation, long generation, InetSocketAddress stewardAddress,
      Runnable onDrain, Runnable onUndrain) {
    return new DoorLink(new DoorLink.Identity("f", "d1", incarnation, "a", 1, "1.0", 0),
        List.of(stewardAddress), 0.01,
        folder.resolve("d1"), generation, new DoorLink.DoorControl() {
          @Override
          public void takeOut(String backend) { }

          @Override
          public void putBack(String backend) { }

          @Override
          public void drain() {
            onDrain.run();
          }

          @Override
          public void undrain() {
            onUndrain.run();
          }

          @Override
          public void replace(long attempt, String version) { }
        });
  }
}
