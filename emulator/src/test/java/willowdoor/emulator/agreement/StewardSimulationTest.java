package willowdoor.emulator.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.agreement.Command;
import willowdoor.agreement.Command.RequestPermit;
import willowdoor.agreement.Command.Backend;
import willowdoor.agreement.Command.UpdateBackends;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.Outcome.Granted;
import willowdoor.agreement.Outcome.Waiting;
import willowdoor.agreement.Permit;
import willowdoor.agreement.Subject;
import willowdoor.agreement.Subject.Kind;
import willowdoor.steward.Steward;
import willowdoor.steward.StewardId;

class StewardSimulationTest {

  @TempDir
  private Path folder;
  private final List<StewardSimulation> open = new ArrayList<>();

  @AfterEach
  void close() throws IOException {
    for (StewardSimulation world : open) {
      world.close();
    }
  }

  private StewardSimulation startSimulation(int stewards, long seed, int budget,
      int snapshotAfter) throws IOException {
    StewardSimulation world = new StewardSimulation(folder, stewards, seed, budget, snapshotAfter);
    open.add(world);
    return world;
  }

  private static DoubleFunction<Command> ask(String request, String backend) {
    return at -> new RequestPermit(at, request, new Subject(Kind.BACKEND, backend), "ana", "disk", false);
  }

  private static DoubleFunction<Command> backends(int n) {
    return at -> new UpdateBackends(at, 1, java.util.stream.IntStream.range(0, n)
        .mapToObj(i -> new Backend("b" + i, "a", 1, true, 0)).toList());
  }

  private static void assertAllAgree(StewardSimulation world, String what) throws IOException {
    world.lossProbability = 0;
    world.cutLinks.clear();
    world.restartStopped();
    world.proposeUntilAgreed(Set.of(), Command.Tick::new);
    world.run(3_000);
    for (Steward steward : world.stewards) {
      assertEquals(world.stewards.get(0).record().state(), steward.record().state(), what);
    }
  }

  @Test
  void whatIsAgreedOnIsTheSameEverywhere() throws Exception {
    StewardSimulation world = startSimulation(3, 1, 1, 10_000);
    world.proposeUntilAgreed(Set.of(), backends(3));
    assertInstanceOf(Granted.class, world.proposeUntilAgreed(Set.of(), ask("r1", "b1")));
    assertInstanceOf(Waiting.class, world.proposeUntilAgreed(Set.of(), ask("r2", "b2")));
    assertAllAgree(world, "seed 1");
  }

  /** An operator at each half: the old leader, in the smaller one, can give nothing away. */
  @Test
  void theLeaderInTheSmallerHalfGrantsNothing() throws Exception {
    StewardSimulation world = startSimulation(5, 2, 1, 10_000);
    world.proposeUntilAgreed(Set.of(), backends(3));
    int old = world.leader(Set.of());
    Set<Integer> side = Set.of(old, (old + 1) % 5);
    world.partition(side);
    CompletableFuture<Outcome> inMinority = world.propose(old, ask("r1", "b1"));
    assertInstanceOf(Granted.class, world.proposeUntilAgreed(side, ask("r2", "b2")));
    assertFalse(inMinority.isDone() && !inMinority.isCompletedExceptionally());
    assertAllAgree(world, "seed 2");
    assertInstanceOf(Waiting.class, world.proposeUntilAgreed(Set.of(), ask("r1", "b1")));
  }

  /** It is stopped in the middle of handing out a permit, for longer than a lease, and continued. */
  @Test
  void aLeaderThatWasStoppedGrantsNothingByWhatItBelieved() throws Exception {
    StewardSimulation world = startSimulation(3, 3, 1, 10_000);
    world.proposeUntilAgreed(Set.of(), backends(3));
    int old = world.leader(Set.of());
    CompletableFuture<Outcome> late = world.propose(old, ask("r1", "b1"));
    world.stop(old);
    assertInstanceOf(Granted.class, world.proposeUntilAgreed(Set.of(old), ask("r2", "b2")));
    world.run(10_000);
    world.resume(old);
    assertTrue(world.stewards.get(old).isLeader(), "it doesn't know yet");
    CompletableFuture<Outcome> after = world.propose(old, ask("r3", "b0"));
    world.run(3_000);
    assertFalse(granted(late) || granted(after));
    assertAllAgree(world, "seed 3");
  }

  private static boolean granted(CompletableFuture<Outcome> answer) {
    return answer.isDone() && !answer.isCompletedExceptionally() && answer.join() instanceof Granted;
  }

  /** With their disks: whoever was told yes still has it. */
  @Test
  void allAreKilledAtOnceAndComeBack() throws Exception {
    StewardSimulation world = startSimulation(3, 5, 1, 25);
    world.proposeUntilAgreed(Set.of(), backends(3));
    assertInstanceOf(Granted.class, world.proposeUntilAgreed(Set.of(), ask("r1", "b1")));
    for (int round = 0; round < 5; round++) {
      for (int i = 0; i < 10; i++) {
        world.proposeUntilAgreed(Set.of(), Command.Tick::new);
      }
      for (int i = 0; i < 3; i++) {
        world.kill(i);
      }
      world.run(500);
      world.restartStopped();
      assertInstanceOf(Waiting.class, world.proposeUntilAgreed(Set.of(), ask("r2", "b2")));
      assertEquals(1, world.stewards.get(world.leader(Set.of())).record().out(Kind.BACKEND));
    }
    assertAllAgree(world, "seed 5");
  }

  @Test
  void oneThatWasAwayCatchesUpFromASnapshot() throws Exception {
    StewardSimulation world = startSimulation(3, 4, 2, 20);
    world.proposeUntilAgreed(Set.of(), backends(2_000));
    int away = (world.leader(Set.of()) + 1) % 3;
    world.partition(Set.of(away));
    for (int i = 0; i < 100; i++) {
      world.proposeUntilAgreed(Set.of(away), ask("r" + i, "b" + i));
    }
    assertAllAgree(world, "seed 4");
    assertEquals(100, world.stewards.get(away).record().state().permits().size());
  }

  private static void awaitChange(StewardSimulation world, Set<Integer> excluded, StewardId who,
      Steward.MembershipChange change) {
    double limit = world.nowMs + 20_000;
    while (world.nowMs < limit) {
      int leader = world.leader(excluded);
      if (leader >= 0) {
        CompletableFuture<List<StewardId>> answer = world.stewards.get(leader).changeMembership(who, change);
        world.runUntil(world.nowMs + 1_000, answer::isDone);
        if (answer.isDone() && !answer.isCompletedExceptionally()) {
          return;
        }
      }
      world.run(50);
    }
    throw new AssertionError(who + " not changed to " + change + " in 20 s");
  }

  /** A disk is lost. Another takes its place without a stop; then the old ones go one by one. */
  @Test
  void stewardsAreReplacedOneAtATime() throws Exception {
    StewardSimulation world = startSimulation(3, 6, 1, 20);
    world.proposeUntilAgreed(Set.of(), backends(3));
    assertInstanceOf(Granted.class, world.proposeUntilAgreed(Set.of(), ask("r1", "b1")));
    Set<Integer> gone = new java.util.HashSet<>();
    for (int old = 2; old >= 0; old--) {
      world.kill(old);
      gone.add(old);
      for (int i = 0; i < 30; i++) {
        world.proposeUntilAgreed(gone, Command.Tick::new);
      }
      StewardId fresh = world.ids.get(world.join());
      awaitChange(world, gone, fresh, Steward.MembershipChange.LISTEN);
      awaitChange(world, gone, fresh, Steward.MembershipChange.VOTE);
      awaitChange(world, gone, world.ids.get(old), Steward.MembershipChange.LEAVE);
    }
    assertInstanceOf(Waiting.class, world.proposeUntilAgreed(gone, ask("r2", "b2")));
    int leader = world.leader(gone);
    assertEquals(3, world.stewards.get(leader).votingMembers().size());
    assertEquals(1, world.stewards.get(leader).record().out(Kind.BACKEND));
    world.kill(leader);
    gone.add(leader);
    assertInstanceOf(Granted.class, world.proposeUntilAgreed(gone, ask("r1", "b1")));
  }

  /**
   * A leader stands still for about as long as it takes to be missed, so that what it says then meets a vote
   * that has just begun; later it dies. Whoever is left chooses another.
   */
  @Test
  void afterALeaderThatStoodStillAndThenDiedAnotherLeads() throws Exception {
    for (long seed = 1; seed <= Long.getLong("willowdoor.seeds", 20); seed++) {
      Random random = new Random(seed);
      StewardSimulation world = startSimulation(3 + 2 * random.nextInt(2), seed, 1, 30);
      world.maxDelayMs = 5 + random.nextInt(60);
      world.proposeUntilAgreed(Set.of(), backends(1));
      Set<Integer> dead = new java.util.HashSet<>();
      for (int more = (world.ids.size() - 1) / 2; more >= 0; more--) {
        for (int i = 0; i < 10; i++) {
          int still = world.leader(dead);
          if (still >= 0) {
            world.stop(still);
            world.run(400 + random.nextInt(300));
            world.resume(still);
          }
          world.run(100 + random.nextInt(400));
        }
        assertTrue(world.runUntil(world.nowMs + 10_000, () -> world.leader(dead) >= 0),
            "seed " + seed + ", " + dead + " dead: nobody leads");
        world.proposeUntilAgreed(dead, Command.Tick::new);
        if (more > 0) {
          int leader = world.leader(dead);
          world.kill(leader);
          dead.add(leader);
        }
      }
    }
  }

  /** Its disk takes nothing more: it ends, what others were told stands, and with room it goes on. */
  @Test
  void aStewardWhoseDiskIsFullEndsAndTheOthersGoOn() throws Exception {
    StewardSimulation world = startSimulation(3, 7, 1, 10_000);
    world.proposeUntilAgreed(Set.of(), backends(3));
    assertInstanceOf(Granted.class, world.proposeUntilAgreed(Set.of(), ask("r1", "b1")));
    for (int full : List.of((world.leader(Set.of()) + 1) % 3, world.leader(Set.of()))) {
      world.kill(full);
      world.proposeUntilAgreed(Set.of(full), backends(3));
      world.start(full, 40);
      double limit = world.nowMs + 60_000;
      while (!world.stewards.get(full).hasEnded() && world.nowMs < limit) {
        world.proposeUntilAgreed(Set.of(full), backends(500));
      }
      assertTrue(world.stewards.get(full).hasEnded(), "steward " + full);
      assertInstanceOf(Waiting.class, world.proposeUntilAgreed(Set.of(full), ask("r2", "b2")));
      world.kill(full);
      world.start(full);
    }
    assertAllAgree(world, "seed 7");
    assertEquals(1, world.stewards.get(0).record().out(Kind.BACKEND));
  }

  /** Torn in its middle, or no store at all: it doesn't begin, and says which file. */
  @Test
  void aDiskThatIsTornIsNamed() throws Exception {
    StewardSimulation world = startSimulation(3, 8, 1, 10_000);
    world.proposeUntilAgreed(Set.of(), backends(2_000));
    world.run(1_000);
    for (int torn = 0; torn < 2; torn++) {
      world.kill(torn);
      Path disk = world.disk(torn);
      byte[] bytes = java.nio.file.Files.readAllBytes(disk);
      if (torn == 0) {
        java.util.Arrays.fill(bytes, 0, 4_096, (byte) 7);
      } else {
        bytes = java.util.Arrays.copyOf(bytes, bytes.length / 2);
      }
      java.nio.file.Files.write(disk, bytes);
      int me = torn;
      IOException why = assertThrows(IOException.class, () -> world.start(me));
      assertTrue(why.getMessage().contains("store"), why.getMessage());
    }
  }

  /** Links that lose and delay, splits, processes that stand still: one record, and what was told holds. */
  @Test
  void whatWasToldHoldsThroughFaultsByChance() throws Exception {
    for (long seed = 1; seed <= Long.getLong("willowdoor.seeds", 20); seed++) {
      Random random = new Random(seed);
      StewardSimulation world = startSimulation(3 + 2 * random.nextInt(2), seed, 2, 30);
      world.lossProbability = 0.1 * random.nextDouble();
      world.maxDelayMs = 1 + random.nextInt(80);
      world.proposeUntilAgreed(Set.of(), backends(6));
      Map<String, Long> told = new HashMap<>();
      Map<CompletableFuture<Outcome>, String> asked = new HashMap<>();
      for (int step = 0; step < 40; step++) {
        int one = random.nextInt(world.ids.size());
        String request = "r" + random.nextInt(6);
        switch (random.nextInt(8)) {
          case 0 -> world.partition(Set.of(one));
          case 1 -> world.cutLinks.clear();
          case 2 -> world.stop(one);
          case 3 -> world.restartStopped();
          case 4 -> world.kill(one);
          default -> {
            if (world.isRunning(one)) {
              asked.put(world.propose(one, ask(request, "b" + request.substring(1))), request);
            }
          }
        }
        world.run(random.nextInt(400));
      }
      String what = "seed " + seed;
      assertAllAgree(world, what);
      asked.forEach((answer, request) -> {
        if (granted(answer)) {
          long permit = ((Granted) answer.join()).permit();
          assertEquals(permit, told.merge(request, permit, (a, b) -> a.equals(b) ? a : -1), what);
        }
      });
      List<Permit> permits = world.stewards.get(0).record().state().permits();
      told.forEach((request, id) -> assertTrue(permits.stream().anyMatch(x -> x.id() == id
          && x.request().equals(request) && x.stage() != Permit.Stage.WAITING), what + " " + request));
      assertTrue(permits.stream().filter(x -> x.stage() != Permit.Stage.WAITING).count() <= 2, what);
    }
  }
}
