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
import willowdoor.policy.Learned;
import willowdoor.testkit.Ledger.Kind;
import willowdoor.testkit.RequestKind;

/** One instance takes the place of another, or fails to at the worst moment. */
@Timeout(60)
class TakeOverTest {

  private World world;

  @BeforeEach
  void open() throws Exception {
    world = new World(2, 100);
  }

  @AfterEach
  void close() throws Exception {
    world.close();
  }

  private Path control() {
    return world.files.control(0);
  }

  private Daemon running() throws Exception {
    Daemon daemon = world.started();
    World.await("control socket", () -> Files.exists(control()));
    return daemon;
  }

  private void serves(InetSocketAddress at, String id) throws IOException {
    World.Caller caller = world.new Caller(at, "d0");
    caller.send(id, RequestKind.BUY, 3_000);
    assertEquals(200, caller.receive());
  }

  private void kept() {
    assertTrue(world.verdict().kept(), () -> world.verdict().toString());
  }

  private static void endsWith(int code, Daemon daemon) throws Exception {
    assertEquals(code, daemon.ended().get(World.LIMIT_MS, TimeUnit.MILLISECONDS));
  }

  @Test
  void theNewOneServesAndTheOldOneAnswersWhatItHasAndEnds() throws Exception {
    Daemon old = running();
    InetSocketAddress address = old.address();
    World.Caller caller = world.new Caller(address, "d0");
    caller.send("r1", RequestKind.BUY, 3_000);
    world.awaitSaw("r1", Kind.LAST_BYTE);
    Daemon fresh = world.daemon(address, "").start(true);
    assertEquals(200, caller.receive());
    endsWith(InstanceLifecycle.EXIT_ORDERLY, old);
    old.close();
    serves(address, "r2");
    fresh.end();
    endsWith(InstanceLifecycle.EXIT_ORDERLY, fresh);
    kept();
  }

  /** From the hand-over on the old life sends on nothing under a ceiling, and the new one what it may. */
  @Test
  void aCeilingIsOfOneLifeAtATime() throws Exception {
    String end = "[end]\naccept_ms = 3000\n";
    UnaryOperator<String> ofTwo = text -> text.replace("doors = 1\n", "doors = 2\n")
        .replace("units_per_s = 5.0\n", "units_per_s = 0\n");
    Daemon old = world.daemon(new InetSocketAddress("127.0.0.1", 0), end, ofTwo).start(false);
    InetSocketAddress address = old.address();
    World.awaitUp(address);
    World.await("control socket", () -> Files.exists(control()));
    World.Caller asking = world.new Caller(address, "d0");
    awaitServed(asking, "a");
    List<World.Caller> kept = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      kept.add(world.new Caller(address, "d0"));
      assertEquals(200, status(kept.get(i)), "a connection that the old life has accepted");
    }
    Daemon fresh = world.daemon(address, end, ofTwo).start(true);
    World.await("old one drains", () -> status(asking) != 200);
    for (int i = 0; i < kept.size(); i++) {
      assertEquals(429, ask(kept.get(i), "o" + i), "the old life's request " + i);
    }
    awaitServed(world.new Caller(address, "d0"), "n");
    fresh.end();
  }

  private void awaitServed(World.Caller caller, String ids) {
    int[] asked = new int[1];
    World.await("served under its ceiling", () -> {
      try {
        return ask(caller, ids + asked[0]++) == 200;
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    });
  }

  private static int status(World.Caller caller) {
    try {
      caller.raw("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
      return caller.receive("up");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private int ask(World.Caller caller, String id) throws IOException {
    caller.raw(caller.message(id, RequestKind.BUY, 3_000).replace("X-Plan: full", "X-Plan: basic")
        .replace("spread=1", "spread=2"));
    world.rig.ledger().request(Kind.ASKED, id, "d0", 0, "");
    return caller.receive(id);
  }

  @Test
  void aSuccessorCanBeSucceeded() throws Exception {
    Daemon first = running();
    InetSocketAddress address = first.address();
    Daemon last = first;
    for (int i = 0; i < 3; i++) {
      Daemon next = world.daemon(address, "[end]\naccept_ms = 50\n").start(true);
      endsWith(InstanceLifecycle.EXIT_ORDERLY, last);
      last.close();
      serves(address, "r" + i);
      last = next;
    }
    kept();
  }

  @Test
  void withoutTakingOverASecondOneFailsAtOnceNamingAddressAndHolder() throws Exception {
    Daemon old = running();
    Daemon second = world.daemon(old.address(), "");
    IOException e = assertThrows(IOException.class, () -> second.start(false));
    assertTrue(e.getMessage().contains("127.0.0.1:" + old.address().getPort()), e.getMessage());
    assertTrue(e.getMessage().contains("process " + ProcessHandle.current().pid()), e.getMessage());
    serves(old.address(), "r1");
    kept();
  }

  @Test
  void withNothingToTakeOverItBinds() throws Exception {
    Daemon only = world.daemon(new InetSocketAddress("127.0.0.1", 0), "").start(true);
    World.awaitUp(only.address());
    serves(only.address(), "r1");
  }

  /** A killed instance leaves the file of its control socket behind. */
  @Test
  void aFileThatNobodyListensAtIsNoObstacle() throws Exception {
    Files.createFile(control());
    Daemon only = world.daemon(new InetSocketAddress("127.0.0.1", 0), "").start(true);
    World.awaitUp(only.address());
    World.await("taken over", () -> !Files.isRegularFile(control()));
    try (Peer peer = new Peer()) {
      assertEquals(Handover.HANDING, peer.ask(only.address()).split(" ")[0]);
    }
  }

  @Test
  void aSuccessorThatDiesBeforeTheSocketIsHandedOverChangesNothing() throws Exception {
    Daemon old = running();
    try (Peer peer = new Peer()) {
      peer.ask(old.address());
    }
    stillServesAndCanBeReplaced(old);
  }

  @Test
  void aSuccessorThatDiesWithTheSocketInHandChangesNothing() throws Exception {
    Daemon old = running();
    try (Peer peer = new Peer()) {
      peer.ask(old.address());
      peer.say(Handover.SEND);
      peer.readDescriptor();
    }
    stillServesAndCanBeReplaced(old);
  }

  @Test
  void aSuccessorThatDiesJustAfterItWasReadyIsTakenBackFrom() throws Exception {
    Daemon old = running();
    World.Caller queued;
    try (Peer peer = new Peer()) {
      peer.ask(old.address());
      peer.say(Handover.SEND);
      peer.readDescriptor();
      peer.say(Handover.READY);
      assertEquals(Handover.YOURS, peer.line());
      // Nobody accepts now: this one waits in the queue that both hold.
      queued = world.new Caller(old.address(), "d0");
      queued.send("queued", RequestKind.BUY, 3_000);
    }
    assertEquals(200, queued.receive());
    stillServesAndCanBeReplaced(old);
  }

  private void stillServesAndCanBeReplaced(Daemon old) throws Exception {
    World.awaitUp(old.address());
    serves(old.address(), "still");
    assertFalse(old.ended().isDone());
    World.await("free for a successor", () -> {
      try (Peer peer = new Peer()) {
        return peer.ask(old.address()).startsWith(Handover.HANDING);
      } catch (IOException e) {
        return false;
      }
    });
    World.await("replaced", () -> {
      try {
        world.daemon(old.address(), "[end]\naccept_ms = 50\n").start(true);
        return true;
      } catch (Exception e) {
        return false;
      }
    });
    endsWith(InstanceLifecycle.EXIT_ORDERLY, old);
    old.close();
    World.awaitUp(old.address());
    kept();
  }

  @Test
  void aSuccessorThatIsNotReadyInTimeIsToldToGiveUp() throws Exception {
    Path file = world.files.write(0, new InetSocketAddress("127.0.0.1", 0));
    Files.writeString(file, Files.readString(file).replace("[take_over]",
        "[take_over]\nready_limit_ms = 200"));
    Daemon old = Daemon.create(DaemonConfig.read(file), file, "unnamed").start(false);
    try {
      World.awaitUp(old.address());
      World.await("control socket", () -> Files.exists(control()));
      try (Peer peer = new Peer()) {
        peer.ask(old.address());
        assertTrue(peer.line().startsWith(Handover.REFUSED + " not ready"));
      }
      serves(old.address(), "r1");
    } finally {
      old.close();
    }
  }

  /** One that asks is told what was learned; one of an older version hears nothing that it can't read. */
  @Test
  void whatWasLearnedGoesOverToWhoAsksForIt() throws Exception {
    Daemon old = running();
    serves(old.address(), "r1");
    try (Peer peer = new Peer()) {
      assertTrue(peer.ask(old.address()).endsWith(" " + LearnedLines.WORD));
      peer.say(Handover.SEND);
      peer.readDescriptor();
      peer.say(Handover.READY_TO_LEARN);
      assertEquals(Handover.YOURS, peer.line());
      LearnedLines lines = new LearnedLines();
      Learned told = null;
      while (told == null) {
        told = lines.next(peer.line());
      }
      assertEquals(2, told.backends().size());
      assertTrue(told.backends().stream().anyMatch(x -> x.slow() > 0), told::toString);
      assertTrue(told.taken().stream().anyMatch(x -> x.count() > 0), told::toString);
    }
    World.await("serves on, as its successor is gone", () -> World.up(old.address()));
  }

  @Test
  void theNewOneGoesOnFromWhatTheOldOneHasLearned() throws Exception {
    Daemon old = running();
    serves(old.address(), "r1");
    Daemon fresh = world.daemon(old.address(), "").start(true);
    World.await("learned", () -> fresh.learned().taken().stream().anyMatch(x -> x.count() > 0));
    endsWith(InstanceLifecycle.EXIT_ORDERLY, old);
    serves(fresh.address(), "r2");
    kept();
  }

  @Test
  void onlyOneSuccessorAtATimeAndOnlyForTheSameAddress() throws Exception {
    Daemon old = running();
    try (Peer first = new Peer(); Peer second = new Peer(); Peer other = new Peer(); Peer junk = new Peer()) {
      assertTrue(first.ask(old.address()).startsWith(Handover.HANDING));
      assertTrue(second.ask(old.address()).contains("is taking over already"));
      assertTrue(other.ask(new InetSocketAddress("127.0.0.1", 1)).contains("not on 127.0.0.1:1"));
      junk.say("give me all");
      assertTrue(junk.line().startsWith(Handover.REFUSED + " not understood"));
    }
    serves(old.address(), "r1");
  }

  @Test
  void aDrainingInstanceHandsNothingOver() throws Exception {
    Daemon old = running();
    old.end();
    World.await("refused", () -> {
      try (Peer peer = new Peer()) {
        return peer.ask(old.address()).startsWith(Handover.REFUSED);
      } catch (IOException e) {
        return true;
      }
    });
  }

  /** A scripted successor; the descriptor that comes to it is dropped unread, as by a process that dies. */
  private final class Peer implements Closeable {
    private final SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX);
    private final BufferedReader in;

    Peer() throws IOException {
      channel.connect(UnixDomainSocketAddress.of(control()));
      in = new BufferedReader(new InputStreamReader(Channels.newInputStream(channel), StandardCharsets.UTF_8),
          1);
    }

    void say(String line) throws IOException {
      channel.write(ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.UTF_8)));
    }

    String line() throws IOException {
      return String.valueOf(in.readLine());
    }

    String ask(InetSocketAddress address) throws IOException {
      say(Handover.TAKE_OVER + " 1 99999 127.0.0.1:" + address.getPort());
      return line();
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
