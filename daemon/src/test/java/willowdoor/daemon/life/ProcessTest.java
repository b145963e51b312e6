package willowdoor.daemon.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.daemon.fleet.FleetRun;
import willowdoor.testkit.DoorProcess;
import willowdoor.testkit.EventHistory.Kind;
import willowdoor.testkit.RequestKind;
import willowdoor.testkit.StandInDiscovery.Listed;

/** Behaviour that needs real processes and real signals. */
@Timeout(90)
class ProcessTest {

  private static final long SUSPENDED_MS = 5_000;
  /** A long answer takes 6 s, and the limits of a shutdown are 3.7 s together. */
  private static final int PIECES = 20;
  private static final int PIECE_BYTES = 10_000;
  private static final long PIECE_INTERVAL_MS = 300;

  private DaemonFixture fixture;
  private InetSocketAddress address;
  private DoorProcess door;
  private File log;

  @BeforeEach
  void open() throws Exception {
    fixture = new DaemonFixture(2, 100);
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    log = fixture.folder.resolve("d0.log").toFile();
    door = new DoorProcess("d0", address, fixture.rig.eventHistory(),
        () -> FleetRun.command(fixture.files.write(0, address), false), Map.of(), log);
  }

  @AfterEach
  void close() throws Exception {
    door.close();
    fixture.close();
  }

  private String readLog() {
    try {
      return Files.readString(log.toPath());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void startAndAwaitUp() {
    door.start();
    DaemonFixture.awaitUp(address);
  }

  private void assertRulesKept() {
    assertTrue(fixture.verdict().passed(), () -> fixture.verdict().toString());
  }

  @Test
  void sigtermAnswersOpenRequestsAndExitsWithZero() throws Exception {
    startAndAwaitUp();
    DaemonFixture.Caller caller = fixture.new Caller(address, "d0");
    caller.send("r1", RequestKind.BUY, 3_000);
    fixture.awaitRecorded("r1", Kind.LAST_BYTE);
    door.terminate();
    assertEquals(200, caller.receiveStatus());
    assertTrue(DoorProcess.join(door.process(), DaemonFixture.TIMEOUT_MS));
    assertEquals(0, door.process().exitValue());
    assertRulesKept();
  }

  /** Guards against a stop, also one told twice, that cuts off an answer which its backend still writes. */
  @Test
  void sigtermWaitsForALongAnswerThatStillComes() throws Exception {
    try (ServerSocket backend = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      fixture.rig.backendPool().all().forEach(b -> fixture.rig.discovery().setState(b.name(), "left"));
      fixture.rig.discovery().publish(
          new Listed("slow", (InetSocketAddress) backend.getLocalSocketAddress(), "a", "active", 0));
      Thread answering = new Thread(() -> writeLongAnswers(backend));
      answering.setDaemon(true);
      answering.start();
      startAndAwaitUp();
      DaemonFixture.Caller caller = fixture.new Caller(address, "d0");
      caller.sendRaw(caller.requestText("r1", RequestKind.QUOTE, 3_000));
      Thread.sleep(PIECE_INTERVAL_MS);
      door.terminate();
      Thread.sleep(PIECE_INTERVAL_MS);
      door.terminate();
      int received = caller.socket.getInputStream().readAllBytes().length;
      assertTrue(received > PIECES * PIECE_BYTES, () -> received + " bytes came\n" + readLog());
      assertTrue(DoorProcess.join(door.process(), DaemonFixture.TIMEOUT_MS));
      assertEquals(0, door.process().exitValue(), this::readLog);
    }
  }

  /** Writes answers of over 64 KiB that take longer than the limits of a shutdown together. */
  private static void writeLongAnswers(ServerSocket backend) {
    try {
      while (true) {
        try (Socket socket = backend.accept()) {
          socket.getInputStream().read(new byte[PIECE_BYTES]);
          OutputStream out = socket.getOutputStream();
          out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + PIECES * PIECE_BYTES + "\r\n\r\n").getBytes(
              StandardCharsets.US_ASCII));
          for (int i = 0; i < PIECES; i++) {
            out.write(new byte[PIECE_BYTES]);
            Thread.sleep(PIECE_INTERVAL_MS);
          }
        }
      }
    } catch (IOException | InterruptedException e) {
      // The test has ended, or the gateway has closed the connection.
    }
  }

  @Test
  void anInvalidFileOrAnAddressInUseFailsTheStartWithItsExitCode() throws Exception {
    startAndAwaitUp();
    Path bad = fixture.folder.resolve("bad.toml");
    Files.writeString(bad, "[instance]\nname = 3\n");
    assertEquals(2, run(FleetRun.command(bad, false)));
    assertEquals(1, run(FleetRun.command(fixture.files.write(0, address), false)));
    assertTrue(readLog().contains("is held by process " + door.process().pid()), this::readLog);
    DaemonFixture.awaitUp(address);
  }

  private int run(List<String> words) throws IOException {
    Process p = new ProcessBuilder(words).redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
    assertTrue(DoorProcess.join(p, DaemonFixture.TIMEOUT_MS));
    return p.exitValue();
  }

  @Test
  void ofTwoSimultaneousStartsOneServesAndTheOtherNamesTheOwner() throws Exception {
    List<String> words = FleetRun.command(fixture.files.write(0, address), false);
    Process[] both = new Process[2];
    for (int i = 0; i < 2; i++) {
      both[i] = new ProcessBuilder(words).redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
    }
    try {
      DaemonFixture.await("one has ended", () -> both[0].isAlive() != both[1].isAlive());
      Process loser = both[0].isAlive() ? both[1] : both[0];
      Process winner = both[0].isAlive() ? both[0] : both[1];
      assertEquals(1, loser.exitValue());
      assertTrue(readLog().contains(address.getPort() + " is held by process " + winner.pid()),
          this::readLog);
      DaemonFixture.awaitUp(address);
      DaemonFixture.Caller caller = fixture.new Caller(address, "d0");
      caller.send("r1", RequestKind.BUY, 3_000);
      assertEquals(200, caller.receiveStatus());
    } finally {
      for (Process p : both) {
        p.destroyForcibly();
        DoorProcess.join(p, DaemonFixture.TIMEOUT_MS);
      }
    }
    assertRulesKept();
  }

  /**
   * A connection that waits in the accept queue when the predecessor is killed is answered by the successor,
   * which holds the same socket.
   */
  @Test
  void successorServesIfThePredecessorIsKilledDuringTheWarmUp() throws Exception {
    startAndAwaitUp();
    DaemonFixture.await("control socket", () -> Files.exists(fixture.files.controlSocket(0)));
    Process old = door.process();
    Process fresh = door.replace(FleetRun.command(fixture.files.write(0, address), true));
    DaemonFixture.await("socket in hand", () -> readLog().contains("holds the listening socket"));
    old.destroyForcibly();
    assertTrue(DoorProcess.join(old, DaemonFixture.TIMEOUT_MS));
    DaemonFixture.Caller queued = fixture.new Caller(address, "d0");
    queued.send("queued", RequestKind.BUY, 4_000);
    assertEquals(200, queued.receiveStatus());
    assertTrue(fresh.isAlive());
    DaemonFixture.awaitUp(address);
    assertRulesKept();
  }

  /** The successor is killed by a signal after it has received the socket. */
  @Test
  void predecessorServesIfTheSuccessorIsKilledDuringTheWarmUp() throws Exception {
    startAndAwaitUp();
    DaemonFixture.await("control socket", () -> Files.exists(fixture.files.controlSocket(0)));
    Process old = door.process();
    Process fresh = door.replace(FleetRun.command(fixture.files.write(0, address), true));
    DaemonFixture.await("socket in hand", () -> readLog().contains("holds the listening socket"));
    fresh.destroyForcibly();
    assertTrue(DoorProcess.join(fresh, DaemonFixture.TIMEOUT_MS));
    DaemonFixture.Caller caller = fixture.new Caller(address, "d0");
    caller.send("r1", RequestKind.BUY, 3_000);
    assertEquals(200, caller.receiveStatus());
    assertTrue(old.isAlive());
    assertRulesKept();
  }

  /**
   * A door is suspended for 5 s. Afterwards it sends nothing for a client that disconnected meanwhile, and
   * nothing to a backend that began to drain meanwhile.
   */
  @Test
  void aContinuedDoorSendsNothingForGoneClientsNorToDrainedBackends() throws Exception {
    startAndAwaitUp();
    DaemonFixture.await("watch", () -> fixture.rig.discovery().watchCount() == 1);
    door.setSuspended(true);
    DaemonFixture.Caller gone = fixture.new Caller(address, "d0");
    gone.send("gone", RequestKind.BUY, 1_000);
    fixture.rig.backendPool().drain(fixture.rig.backendPool().backend(0));
    DaemonFixture.await("told", () -> fixture.rig.eventHistory().machineEntries().stream()
        .anyMatch(e -> e.kind() == Kind.TOLD_DRAIN && e.other().equals("b0")));
    double toldAt = fixture.rig.eventHistory().now();
    gone.close();
    DaemonFixture.Caller[] waiting = new DaemonFixture.Caller[8];
    DaemonFixture
        .await("five seconds passed", () -> fixture.rig.eventHistory().now() > toldAt + SUSPENDED_MS);
    for (int i = 0; i < waiting.length; i++) {
      waiting[i] = fixture.new Caller(address, "d0");
      waiting[i].send("w" + i, i % 2 == 0 ? RequestKind.BUY : RequestKind.QUOTE, 3_000);
    }
    door.setSuspended(false);
    for (int i = 0; i < waiting.length; i++) {
      assertEquals(200, waiting[i].receiveStatus(), "w" + i);
    }
    assertFalse(fixture.recorded("gone", Kind.FIRST_BYTE), () -> fixture.history("gone").toString());
    assertTrue(fixture.rig.eventHistory().requestHistories().values().stream().flatMap(List::stream)
        .noneMatch(e -> e.kind() == Kind.FIRST_BYTE && e.other().equals("b0")),
        () -> fixture.rig.eventHistory().machineEntries() + "\n"
        + fixture.rig.eventHistory().requestHistories());
    assertRulesKept();
  }

  @Test
  void sighupReloadsTheFileAndAnInvalidFileChangesNothing() throws Exception {
    startAndAwaitUp();
    Path file = fixture.files.write(0, address);
    Files.writeString(file, Files.readString(file).replace("[limits]", "[limits]\nmemroy_mb = 3"));
    door.signal("HUP");
    DaemonFixture.await("refused", () -> readLog().contains("did you mean limits.memory_mb?"));
    fixture.files.write(0, address);
    Files.writeString(file, Files.readString(file).replace("descriptors = 1024", "descriptors = 2048"));
    door.signal("HUP");
    DaemonFixture.await("told", () -> readLog().contains("need a restart: [limits.descriptors]"));
    DaemonFixture.Caller caller = fixture.new Caller(address, "d0");
    caller.send("r1", RequestKind.BUY, 3_000);
    assertEquals(200, caller.receiveStatus());
    assertRulesKept();
  }
}
