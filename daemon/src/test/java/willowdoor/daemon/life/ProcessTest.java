package willowdoor.daemon.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
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
import willowdoor.testkit.Ledger.Kind;
import willowdoor.testkit.RequestKind;

/** What needs real processes and real signals. */
@Timeout(90)
class ProcessTest {

  private static final long STOPPED_MS = 5_000;

  private World world;
  private InetSocketAddress address;
  private DoorProcess door;
  private File log;

  @BeforeEach
  void open() throws Exception {
    world = new World(2, 100);
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    log = world.folder.resolve("d0.log").toFile();
    door = new DoorProcess("d0", address, world.rig.ledger(),
        () -> FleetRun.command(world.files.write(0, address), false), Map.of(), log);
  }

  @AfterEach
  void close() throws Exception {
    door.close();
    world.close();
  }

  private String printed() {
    try {
      return Files.readString(log.toPath());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void started() {
    door.start();
    World.awaitUp(address);
  }

  private void kept() {
    assertTrue(world.verdict().kept(), () -> world.verdict().toString());
  }

  @Test
  void sigtermAnswersWhatIsOutAndExitsWithNought() throws Exception {
    started();
    World.Caller caller = world.new Caller(address, "d0");
    caller.send("r1", RequestKind.BUY, 3_000);
    world.awaitSaw("r1", Kind.LAST_BYTE);
    door.terminate();
    assertEquals(200, caller.receive());
    assertTrue(DoorProcess.join(door.process(), World.LIMIT_MS));
    assertEquals(0, door.process().exitValue());
    kept();
  }

  @Test
  void aBadFileOrAHeldAddressEndsTheStartWithItsCode() throws Exception {
    started();
    Path bad = world.folder.resolve("bad.toml");
    Files.writeString(bad, "[instance]\nname = 3\n");
    assertEquals(2, run(FleetRun.command(bad, false)));
    assertEquals(1, run(FleetRun.command(world.files.write(0, address), false)));
    assertTrue(printed().contains("is held by process " + door.process().pid()), this::printed);
    World.awaitUp(address);
  }

  private int run(List<String> words) throws IOException {
    Process p = new ProcessBuilder(words).redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
    assertTrue(DoorProcess.join(p, World.LIMIT_MS));
    return p.exitValue();
  }

  @Test
  void ofTwoStartedInTheSameInstantOneServesAndTheOtherSaysWhy() throws Exception {
    List<String> words = FleetRun.command(world.files.write(0, address), false);
    Process[] both = new Process[2];
    for (int i = 0; i < 2; i++) {
      both[i] = new ProcessBuilder(words).redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
    }
    try {
      World.await("one has ended", () -> both[0].isAlive() != both[1].isAlive());
      Process loser = both[0].isAlive() ? both[1] : both[0];
      Process winner = both[0].isAlive() ? both[0] : both[1];
      assertEquals(1, loser.exitValue());
      assertTrue(printed().contains(address.getPort() + " is held by process " + winner.pid()),
          this::printed);
      World.awaitUp(address);
      World.Caller caller = world.new Caller(address, "d0");
      caller.send("r1", RequestKind.BUY, 3_000);
      assertEquals(200, caller.receive());
    } finally {
      for (Process p : both) {
        p.destroyForcibly();
        DoorProcess.join(p, World.LIMIT_MS);
      }
    }
    kept();
  }

  /**
   * What waits in the accept queue when the old one is killed is answered by the new one, which has it too.
   */
  @Test
  void theOldOneIsKilledWhileTheNewOneWarmsUpWithTheSocketInHand() throws Exception {
    started();
    World.await("control socket", () -> Files.exists(world.files.control(0)));
    Process old = door.process();
    Process fresh = door.replace(FleetRun.command(world.files.write(0, address), true));
    World.await("socket in hand", () -> printed().contains("holds the listening socket"));
    old.destroyForcibly();
    assertTrue(DoorProcess.join(old, World.LIMIT_MS));
    World.Caller queued = world.new Caller(address, "d0");
    queued.send("queued", RequestKind.BUY, 4_000);
    assertEquals(200, queued.receive());
    assertTrue(fresh.isAlive());
    World.awaitUp(address);
    kept();
  }

  /** The new process dies by a signal, with the socket in its hand. */
  @Test
  void theNewOneIsKilledWhileItWarmsUpAndTheOldOneServesOn() throws Exception {
    started();
    World.await("control socket", () -> Files.exists(world.files.control(0)));
    Process old = door.process();
    Process fresh = door.replace(FleetRun.command(world.files.write(0, address), true));
    World.await("socket in hand", () -> printed().contains("holds the listening socket"));
    fresh.destroyForcibly();
    assertTrue(DoorProcess.join(fresh, World.LIMIT_MS));
    World.Caller caller = world.new Caller(address, "d0");
    caller.send("r1", RequestKind.BUY, 3_000);
    assertEquals(200, caller.receive());
    assertTrue(old.isAlive());
    kept();
  }

  /**
   * A door that is stopped for 5 s: a client that left meanwhile costs no backend anything, and a backend
   * that drained meanwhile gets nothing from those that still wait.
   */
  @Test
  void aStoppedDoorThatWakesSendsNothingForTheGoneNorToTheDrained() throws Exception {
    started();
    World.await("watch", () -> world.rig.discovery().watches() == 1);
    door.stopped(true);
    World.Caller gone = world.new Caller(address, "d0");
    gone.send("gone", RequestKind.BUY, 1_000);
    world.rig.park().drain(world.rig.park().backend(0));
    World.await("told", () -> world.rig.ledger().machines().stream()
        .anyMatch(e -> e.kind() == Kind.TOLD_DRAIN && e.other().equals("b0")));
    double toldAt = world.rig.ledger().now();
    gone.close();
    World.Caller[] waiting = new World.Caller[8];
    World.await("five seconds", () -> world.rig.ledger().now() > toldAt + STOPPED_MS);
    for (int i = 0; i < waiting.length; i++) {
      waiting[i] = world.new Caller(address, "d0");
      waiting[i].send("w" + i, i % 2 == 0 ? RequestKind.BUY : RequestKind.QUOTE, 3_000);
    }
    door.stopped(false);
    for (int i = 0; i < waiting.length; i++) {
      assertEquals(200, waiting[i].receive(), "w" + i);
    }
    assertFalse(world.saw("gone", Kind.FIRST_BYTE), () -> world.history("gone").toString());
    assertTrue(world.rig.ledger().histories().values().stream().flatMap(List::stream)
        .noneMatch(e -> e.kind() == Kind.FIRST_BYTE && e.other().equals("b0")),
        () -> world.rig.ledger().machines() + "\n" + world.rig.ledger().histories());
    kept();
  }

  @Test
  void sighupTakesNewAddressesAndABadFileChangesNothing() throws Exception {
    started();
    Path file = world.files.write(0, address);
    Files.writeString(file, Files.readString(file).replace("[limits]", "[limits]\nmemroy_mb = 3"));
    door.signal("HUP");
    World.await("refused", () -> printed().contains("did you mean limits.memory_mb?"));
    world.files.write(0, address);
    Files.writeString(file, Files.readString(file).replace("descriptors = 1024", "descriptors = 2048"));
    door.signal("HUP");
    World.await("told", () -> printed().contains("need a restart: [limits.descriptors]"));
    World.Caller caller = world.new Caller(address, "d0");
    caller.send("r1", RequestKind.BUY, 3_000);
    assertEquals(200, caller.receive());
    kept();
  }
}
