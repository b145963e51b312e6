package willowdoor.daemon.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.daemon.config.DaemonConfig;
import willowdoor.life.InstanceLifecycle;
import willowdoor.policy.LearnedState;
import willowdoor.testkit.EventHistory.Kind;
import willowdoor.testkit.RequestKind;

/** Handovers from one instance to its successor, including failures at every step of the protocol. */
@Timeout(60)
class HandoverTest {

  private static final int CLAIMED_REQUESTS = 10;
  private static final long FILE_WRITTEN_MS = 500;
  private static final int ARRIVED_BYTES = 40;
  private static final long REST_AFTER_MS = 800;

  private DaemonFixture fixture;

  @BeforeEach
  void open() throws Exception {
    fixture = new DaemonFixture(2, 100);
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private Path controlSocketPath() {
    return fixture.files.controlSocket(0);
  }

  private Daemon startWithControlSocket() throws Exception {
    Daemon daemon = fixture.startDaemon();
    DaemonFixture.await("control socket", () -> Files.exists(controlSocketPath()));
    return daemon;
  }

  private void assertServes(InetSocketAddress at, String id) throws IOException {
    DaemonFixture.Caller caller = fixture.new Caller(at, "d0");
    caller.send(id, RequestKind.BUY, 3_000);
    assertEquals(200, caller.receiveStatus());
  }

  private void assertRulesKept() {
    assertTrue(fixture.verdict().passed(), () -> fixture.verdict().toString());
  }

  private static void assertExitCode(int code, Daemon daemon) throws Exception {
    assertEquals(code, daemon.ended().get(DaemonFixture.TIMEOUT_MS, TimeUnit.MILLISECONDS));
  }

  @Test
  void successorServesAndPredecessorAnswersItsRequestsAndEnds() throws Exception {
    Daemon old = startWithControlSocket();
    InetSocketAddress address = old.address();
    DaemonFixture.Caller caller = fixture.new Caller(address, "d0");
    caller.send("r1", RequestKind.BUY, 3_000);
    fixture.awaitRecorded("r1", Kind.LAST_BYTE);
    Daemon fresh = fixture.createDaemon(address, "").start(true);
    assertEquals(200, caller.receiveStatus());
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, old);
    old.close();
    assertServes(address, "r2");
    fresh.requestEnd();
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, fresh);
    assertRulesKept();
  }

  /** Guards against a control socket's file that a process writes anew while it stops. */
  @Test
  void aStoppedPredecessorWritesNoControlSocketFile() throws Exception {
    Daemon old = fixture.createDaemon(new InetSocketAddress("127.0.0.1", 0), "[end]\naccept_ms = 3000\n")
        .start(false);
    DaemonFixture.awaitUp(old.address());
    DaemonFixture.await("control socket", () -> Files.exists(controlSocketPath()));
    DaemonFixture.Caller probe = fixture.new Caller(old.address(), "d0");
    fixture.createDaemon(old.address(), "").start(true);
    DaemonFixture.await("the predecessor drains", () -> isDraining(probe));
    Files.delete(controlSocketPath());
    old.close();
    Thread.sleep(FILE_WRITTEN_MS);
    assertFalse(Files.exists(controlSocketPath()));
  }

  /** Guards against an id that runs twice when it comes to both processes of a handover. */
  @Test
  void anIdThatComesToBothProcessesDoesNotRunTwice() throws Exception {
    Daemon old = fixture.createDaemon(new InetSocketAddress("127.0.0.1", 0), "[end]\naccept_ms = 3000\n")
        .start(false);
    DaemonFixture.awaitUp(old.address());
    DaemonFixture.await("control socket", () -> Files.exists(controlSocketPath()));
    List<DaemonFixture.Caller> atPredecessor = new ArrayList<>();
    for (int i = 0; i < CLAIMED_REQUESTS; i++) {
      atPredecessor.add(fixture.new Caller(old.address(), "d0"));
      atPredecessor.get(i).send("kept" + i, RequestKind.QUOTE, 3_000);
      assertEquals(200, atPredecessor.get(i).receiveStatus());
    }
    DaemonFixture.Caller probe = fixture.new Caller(old.address(), "d0");
    fixture.createDaemon(old.address(), "").start(true);
    DaemonFixture.await("the predecessor drains", () -> isDraining(probe));
    for (int i = 0; i < CLAIMED_REQUESTS; i++) {
      DaemonFixture.Caller atSuccessor = fixture.new Caller(old.address(), "d0");
      String request = atSuccessor.requestText("r" + i, RequestKind.TRANSFER, 3_000);
      atPredecessor.get(i).sendRaw(request);
      atSuccessor.sendRaw(request);
      atPredecessor.get(i).receiveStatus("r" + i);
      atSuccessor.receiveStatus("r" + i);
      String id = "r" + i;
      assertTrue(fixture.history(id).stream().filter(e -> e.kind() == Kind.EFFECT).count() <= 1, id);
    }
    assertServes(old.address(), "last");
  }

  /** Guards against a request that is cut off as it arrives at a process that has been replaced. */
  @Test
  void aRequestThatIsArrivingAtThePredecessorIsAnswered() throws Exception {
    Daemon old = startWithControlSocket();
    DaemonFixture.Caller caller = fixture.new Caller(old.address(), "d0");
    DaemonFixture.Caller probe = fixture.new Caller(old.address(), "d0");
    caller.send("first", RequestKind.BUY, 3_000);
    assertEquals(200, caller.receiveStatus());
    fixture.createDaemon(old.address(), "").start(true);
    String request = caller.requestText("r1", RequestKind.BUY, 3_000);
    DaemonFixture.await("the predecessor drains", () -> isDraining(probe));
    caller.sendRaw(request.substring(0, ARRIVED_BYTES));
    Thread.sleep(REST_AFTER_MS);
    caller.sendRaw(request.substring(ARRIVED_BYTES));
    assertEquals(200, caller.receiveStatus("r1"));
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, old);
  }

  /** Guards against an id that runs again at the successor once the process that has run it has ended. */
  @Test
  void anIdOfThePredecessorDoesNotRunAgainAfterItsEnd() throws Exception {
    Daemon old = startWithControlSocket();
    DaemonFixture.Caller atPredecessor = fixture.new Caller(old.address(), "d0");
    String request = atPredecessor.requestText("early", RequestKind.TRANSFER, 3_000);
    atPredecessor.sendRaw(request);
    assertEquals(200, atPredecessor.receiveStatus("early"));
    fixture.createDaemon(old.address(), "").start(true);
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, old);
    old.close();
    DaemonFixture.Caller atSuccessor = fixture.new Caller(old.address(), "d0");
    atSuccessor.sendRaw(request);
    assertEquals(400, atSuccessor.receiveStatus("early"));
    assertEquals(1, fixture.history("early").stream().filter(e -> e.kind() == Kind.EFFECT).count());
  }

  /** Whether the process at the other end of a kept connection sends clients away. */
  private static boolean isDraining(DaemonFixture.Caller kept) {
    try {
      kept.sendRaw("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
      return kept.receiveStatus("up") != 200;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * After the handover the predecessor forwards no more requests that count against a ceiling, and the
   * successor forwards those that its part of the ceiling allows. Otherwise both processes would spend the
   * same part.
   */
  @Test
  void onlyOneProcessSpendsACeilingAtATime() throws Exception {
    String end = "[end]\naccept_ms = 3000\n";
    UnaryOperator<String> twoDoors = text -> text.replace("doors = 1\n", "doors = 2\n")
        .replace("units_per_s = 5.0\n", "units_per_s = 0\n");
    Daemon predecessor = fixture.createDaemon(new InetSocketAddress("127.0.0.1", 0), end, twoDoors)
        .start(false);
    InetSocketAddress address = predecessor.address();
    DaemonFixture.awaitUp(address);
    DaemonFixture.await("control socket", () -> Files.exists(controlSocketPath()));
    DaemonFixture.Caller caller = fixture.new Caller(address, "d0");
    awaitServed(caller, "a");
    List<DaemonFixture.Caller> keepAlive = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      keepAlive.add(fixture.new Caller(address, "d0"));
      assertEquals(200, healthStatus(keepAlive.get(i)), "a connection that the predecessor has accepted");
    }
    Daemon successor = fixture.createDaemon(address, end, twoDoors).start(true);
    DaemonFixture.await("predecessor drains", () -> healthStatus(caller) != 200);
    for (int i = 0; i < keepAlive.size(); i++) {
      assertEquals(429, statusOfBuyWithCeiling(keepAlive.get(i), "o" + i), "the predecessor's request " + i);
    }
    awaitServed(fixture.new Caller(address, "d0"), "n");
    successor.requestEnd();
  }

  private void awaitServed(DaemonFixture.Caller caller, String ids) {
    int[] asked = new int[1];
    DaemonFixture.await("served within the ceiling", () -> {
      try {
        return statusOfBuyWithCeiling(caller, ids + asked[0]++) == 200;
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    });
  }

  private static int healthStatus(DaemonFixture.Caller caller) {
    try {
      caller.sendRaw("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
      return caller.receiveStatus("up");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private int statusOfBuyWithCeiling(DaemonFixture.Caller caller, String id) throws IOException {
    caller.sendRaw(caller.requestText(id, RequestKind.BUY, 3_000).replace("X-Plan: full", "X-Plan: basic")
        .replace("spread=1", "spread=2"));
    fixture.rig.eventHistory().addRequestEntry(Kind.ASKED, id, "d0", 0, "");
    return caller.receiveStatus(id);
  }

  @Test
  void handoversCanFollowEachOther() throws Exception {
    Daemon first = startWithControlSocket();
    InetSocketAddress address = first.address();
    Daemon last = first;
    for (int i = 0; i < 3; i++) {
      Daemon next = fixture.createDaemon(address, "[end]\naccept_ms = 50\n").start(true);
      assertExitCode(InstanceLifecycle.EXIT_ORDERLY, last);
      last.close();
      assertServes(address, "r" + i);
      last = next;
    }
    assertRulesKept();
  }

  @Test
  void withoutTakeOverASecondProcessFailsAndNamesAddressAndOwner() throws Exception {
    Daemon old = startWithControlSocket();
    Daemon second = fixture.createDaemon(old.address(), "");
    IOException e = assertThrows(IOException.class, () -> second.start(false));
    assertTrue(e.getMessage().contains("127.0.0.1:" + old.address().getPort()), e.getMessage());
    assertTrue(e.getMessage().contains("process " + ProcessHandle.current().pid()), e.getMessage());
    assertServes(old.address(), "r1");
    assertRulesKept();
  }

  @Test
  void bindsWhenThereIsNothingToTakeOver() throws Exception {
    Daemon only = fixture.createDaemon(new InetSocketAddress("127.0.0.1", 0), "").start(true);
    DaemonFixture.awaitUp(only.address());
    assertServes(only.address(), "r1");
  }

  /** A killed instance leaves the file of its control socket behind. */
  @Test
  void aStaleControlSocketFileIsReplaced() throws Exception {
    Files.createFile(controlSocketPath());
    Daemon only = fixture.createDaemon(new InetSocketAddress("127.0.0.1", 0), "").start(true);
    DaemonFixture.awaitUp(only.address());
    DaemonFixture.await("taken over", () -> !Files.isRegularFile(controlSocketPath()));
    try (ScriptedSuccessor peer = new ScriptedSuccessor()) {
      assertEquals(HandoverProtocol.HANDING, peer.requestHandover(only.address()).split(" ")[0]);
    }
  }

  @Test
  void aSuccessorThatDiesBeforeTheSocketIsHandedOverChangesNothing() throws Exception {
    Daemon old = startWithControlSocket();
    try (ScriptedSuccessor peer = new ScriptedSuccessor()) {
      peer.requestHandover(old.address());
    }
    stillServesAndCanBeReplaced(old);
  }

  @Test
  void aSuccessorThatDiesWithTheSocketInHandChangesNothing() throws Exception {
    Daemon old = startWithControlSocket();
    try (ScriptedSuccessor peer = new ScriptedSuccessor()) {
      peer.requestHandover(old.address());
      peer.writeLine(HandoverProtocol.SEND);
      peer.readDescriptor();
    }
    stillServesAndCanBeReplaced(old);
  }

  @Test
  void predecessorServesAgainWhenTheReadySuccessorDies() throws Exception {
    Daemon old = startWithControlSocket();
    DaemonFixture.Caller queued;
    try (ScriptedSuccessor peer = new ScriptedSuccessor()) {
      peer.requestHandover(old.address());
      peer.writeLine(HandoverProtocol.SEND);
      peer.readDescriptor();
      peer.writeLine(HandoverProtocol.READY);
      assertEquals(HandoverProtocol.CONFIRMED, peer.readLine());
      // No process accepts now: this connection waits in the accept queue of the socket that both hold.
      queued = fixture.new Caller(old.address(), "d0");
      queued.send("queued", RequestKind.BUY, 3_000);
    }
    assertEquals(200, queued.receiveStatus());
    stillServesAndCanBeReplaced(old);
  }

  private void stillServesAndCanBeReplaced(Daemon old) throws Exception {
    DaemonFixture.awaitUp(old.address());
    assertServes(old.address(), "still");
    assertFalse(old.ended().isDone());
    DaemonFixture.await("free for a successor", () -> {
      try (ScriptedSuccessor peer = new ScriptedSuccessor()) {
        return peer.requestHandover(old.address()).startsWith(HandoverProtocol.HANDING);
      } catch (IOException e) {
        return false;
      }
    });
    DaemonFixture.await("replaced", () -> {
      try {
        fixture.createDaemon(old.address(), "[end]\naccept_ms = 50\n").start(true);
        return true;
      } catch (Exception e) {
        return false;
      }
    });
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, old);
    old.close();
    DaemonFixture.awaitUp(old.address());
    assertRulesKept();
  }

  @Test
  void aSuccessorThatIsNotReadyInTimeIsRefused() throws Exception {
    Path file = fixture.files.write(0, new InetSocketAddress("127.0.0.1", 0));
    Files.writeString(file, Files.readString(file).replace("[take_over]",
        "[take_over]\nready_limit_ms = 200"));
    Daemon old = Daemon.create(DaemonConfig.read(file), file, "unnamed").start(false);
    try {
      DaemonFixture.awaitUp(old.address());
      DaemonFixture.await("control socket", () -> Files.exists(controlSocketPath()));
      try (ScriptedSuccessor peer = new ScriptedSuccessor()) {
        peer.requestHandover(old.address());
        assertTrue(peer.readLine().startsWith(HandoverProtocol.REFUSED + " not ready"));
      }
      assertServes(old.address(), "r1");
    } finally {
      old.close();
    }
  }

  /**
   * A successor that asks for the learned state receives it after the confirmation. After the end of that
   * successor the predecessor serves again.
   */
  @Test
  void learnedStateIsSentToASuccessorThatAsksForIt() throws Exception {
    Daemon old = startWithControlSocket();
    assertServes(old.address(), "r1");
    try (ScriptedSuccessor peer = new ScriptedSuccessor()) {
      assertTrue(peer.requestHandover(old.address()).endsWith(" " + LearnedStateLines.LINE_PREFIX));
      peer.writeLine(HandoverProtocol.SEND);
      peer.readDescriptor();
      peer.writeLine(HandoverProtocol.READY_FOR_LEARNED_STATE);
      assertEquals(HandoverProtocol.CONFIRMED, peer.readLine());
      LearnedStateLines lines = new LearnedStateLines();
      LearnedState learned = null;
      while (learned == null) {
        learned = lines.read(peer.readLine());
      }
      assertEquals(2, learned.backends().size());
      assertTrue(learned.backends().stream().anyMatch(x -> x.slowness() > 0), learned::toString);
      assertTrue(learned.serviceTimes().stream().anyMatch(x -> x.answers() > 0), learned::toString);
    }
    DaemonFixture.await("predecessor serves again, as its successor is gone",
        () -> DaemonFixture.isUp(old.address()));
  }

  @Test
  void successorUsesTheLearnedState() throws Exception {
    Daemon old = startWithControlSocket();
    assertServes(old.address(), "r1");
    Daemon fresh = fixture.createDaemon(old.address(), "").start(true);
    DaemonFixture
        .await("learned", () -> fresh.learned().serviceTimes().stream().anyMatch(x -> x.answers() > 0));
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, old);
    assertServes(fresh.address(), "r2");
    assertRulesKept();
  }

  @Test
  void onlyOneSuccessorAtATimeAndOnlyForTheSameAddress() throws Exception {
    Daemon old = startWithControlSocket();
    try (ScriptedSuccessor first = new ScriptedSuccessor(); ScriptedSuccessor second =
        new ScriptedSuccessor(); ScriptedSuccessor other = new ScriptedSuccessor(); ScriptedSuccessor junk =
        new ScriptedSuccessor()) {
      assertTrue(first.requestHandover(old.address()).startsWith(HandoverProtocol.HANDING));
      assertTrue(second.requestHandover(old.address()).contains("is taking over already"));
      assertTrue(other.requestHandover(new InetSocketAddress("127.0.0.1", 1)).contains("not on 127.0.0.1:1"));
      junk.writeLine("give me all");
      assertTrue(junk.readLine().startsWith(HandoverProtocol.REFUSED + " not understood"));
    }
    assertServes(old.address(), "r1");
  }

  @Test
  void aDrainingInstanceHandsNothingOver() throws Exception {
    Daemon old = startWithControlSocket();
    old.requestEnd();
    DaemonFixture.await("refused", () -> {
      try (ScriptedSuccessor peer = new ScriptedSuccessor()) {
        return peer.requestHandover(old.address()).startsWith(HandoverProtocol.REFUSED);
      } catch (IOException e) {
        return true;
      }
    });
  }

  /**
   * A successor whose protocol steps the test controls. It drops the received descriptor, as a process that
   * dies would.
   */
  private final class ScriptedSuccessor implements Closeable {
    private final SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX);
    private final BufferedReader in;

    ScriptedSuccessor() throws IOException {
      channel.connect(UnixDomainSocketAddress.of(controlSocketPath()));
      // The byte that carries the descriptor is arbitrary: in UTF-8 it might be the begin of a character.
      in = new BufferedReader(new InputStreamReader(Channels.newInputStream(channel),
          StandardCharsets.ISO_8859_1), 1);
    }

    void writeLine(String line) throws IOException {
      channel.write(ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.UTF_8)));
    }

    String readLine() throws IOException {
      return String.valueOf(in.readLine());
    }

    String requestHandover(InetSocketAddress address) throws IOException {
      writeLine(HandoverProtocol.TAKE_OVER + " 1 99999 127.0.0.1:" + address.getPort());
      return readLine();
    }

    void readDescriptor() throws IOException {
      assertTrue(in.read() >= 0);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
