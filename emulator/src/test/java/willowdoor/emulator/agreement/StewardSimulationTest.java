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
    for (StewardSimulation simulation : open) {
      simulation.close();
    }
  }

  private StewardSimulation startSimulation(int stewards, long seed, int budget, int snapshotAfter)
      throws IOException {
    StewardSimulation simulation = new StewardSimulation(folder, stewards, seed, budget, snapshotAfter);
    open.add(simulation);
    return simulation;
  }

  private static DoubleFunction<Command> ask(String request, String backend) {
    return at -> new RequestPermit(at, request, new Subject(Kind.BACKEND, backend), "ana", "disk", false);
  }

  private static DoubleFunction<Command> backends(int n) {
    return at -> new UpdateBackends(at, 1, java.util.stream.IntStream.range(0, n)
        .mapToObj(i -> new Backend("b" + i, "a", 1, true, 0)).toList());
  }

  private static void assertAllAgree(StewardSimulation simulation, String what) throws IOException {
    simulation.lossProbability = 0;
    simulation.cutLinks.clear();
    simulation.restartStopped();
    simulation.proposeUntilAgreed(Set.of(), Command.Tick::new);
    simulation.run(3_000);
    for (Steward steward : simulation.stewards) {
      assertEquals(simulation.stewards.get(0).record().state(), steward.record().state(), what);
    }
  }

  @Test
  void allStewardsHoldTheSameRecord() throws Exception {
    StewardSimulation simulation = startSimulation(3, 1, 1, 10_000);
    simulation.proposeUntilAgreed(Set.of(), backends(3));
    assertInstanceOf(Granted.class, simulation.proposeUntilAgreed(Set.of(), ask("r1", "b1")));
    assertInstanceOf(Waiting.class, simulation.proposeUntilAgreed(Set.of(), ask("r2", "b2")));
    assertAllAgree(simulation, "seed 1");
  }

  /** Each side of a partition gets a request; the old leader, in the minority, must not grant its one. */
  @Test
  void aLeaderInTheMinorityGrantsNothing() throws Exception {
    StewardSimulation simulation = startSimulation(5, 2, 1, 10_000);
    simulation.proposeUntilAgreed(Set.of(), backends(3));
    int oldLeader = simulation.leader(Set.of());
    Set<Integer> side = Set.of(oldLeader, (oldLeader + 1) % 5);
    simulation.partition(side);
    CompletableFuture<Outcome> inMinority = simulation.propose(oldLeader, ask("r1", "b1"));
    assertInstanceOf(Granted.class, simulation.proposeUntilAgreed(side, ask("r2", "b2")));
    assertFalse(inMinority.isDone() && !inMinority.isCompletedExceptionally());
    assertAllAgree(simulation, "seed 2");
    assertInstanceOf(Waiting.class, simulation.proposeUntilAgreed(Set.of(), ask("r1", "b1")));
  }

  /** The leader is stopped while it grants a permit, for longer than a lease, and then resumed. */
  @Test
  void aStoppedLeaderGrantsNothingOnOutdatedState() throws Exception {
    StewardSimulation simulation = startSimulation(3, 3, 1, 10_000);
    simulation.proposeUntilAgreed(Set.of(), backends(3));
    int oldLeader = simulation.leader(Set.of());
    CompletableFuture<Outcome> late = simulation.propose(oldLeader, ask("r1", "b1"));
    simulation.stop(oldLeader);
    assertInstanceOf(Granted.class, simulation.proposeUntilAgreed(Set.of(oldLeader), ask("r2", "b2")));
    simulation.run(10_000);
    simulation.resume(oldLeader);
    assertTrue(simulation.stewards.get(oldLeader).isLeader(),
        "the resumed leader does not yet know of its successor");
    CompletableFuture<Outcome> after = simulation.propose(oldLeader, ask("r3", "b0"));
    simulation.run(3_000);
    assertFalse(granted(late) || granted(after));
    assertAllAgree(simulation, "seed 3");
  }

  private static boolean granted(CompletableFuture<Outcome> answer) {
    return answer.isDone() && !answer.isCompletedExceptionally() && answer.join() instanceof Granted;
  }

  /** All stewards restart from their disks; a granted permit must survive. */
  @Test
  void permitsSurviveWhenAllStewardsAreKilled() throws Exception {
    StewardSimulation simulation = startSimulation(3, 5, 1, 25);
    simulation.proposeUntilAgreed(Set.of(), backends(3));
    assertInstanceOf(Granted.class, simulation.proposeUntilAgreed(Set.of(), ask("r1", "b1")));
    for (int round = 0; round < 5; round++) {
      for (int i = 0; i < 10; i++) {
        simulation.proposeUntilAgreed(Set.of(), Command.Tick::new);
      }
      for (int i = 0; i < 3; i++) {
        simulation.kill(i);
      }
      simulation.run(500);
      simulation.restartStopped();
      assertInstanceOf(Waiting.class, simulation.proposeUntilAgreed(Set.of(), ask("r2", "b2")));
      assertEquals(1, simulation.stewards.get(simulation.leader(Set.of())).record().out(Kind.BACKEND));
    }
    assertAllAgree(simulation, "seed 5");
  }

  @Test
  void aStewardThatWasCutOffCatchesUpFromASnapshot() throws Exception {
    StewardSimulation simulation = startSimulation(3, 4, 2, 20);
    simulation.proposeUntilAgreed(Set.of(), backends(2_000));
    int away = (simulation.leader(Set.of()) + 1) % 3;
    simulation.partition(Set.of(away));
    for (int i = 0; i < 100; i++) {
      simulation.proposeUntilAgreed(Set.of(away), ask("r" + i, "b" + i));
    }
    assertAllAgree(simulation, "seed 4");
    assertEquals(100, simulation.stewards.get(away).record().state().permits().size());
  }

  private static void awaitChange(StewardSimulation simulation, Set<Integer> excluded, StewardId who,
      Steward.MembershipChange change) {
    double limit = simulation.nowMs + 20_000;
    while (simulation.nowMs < limit) {
      int leader = simulation.leader(excluded);
      if (leader >= 0) {
        CompletableFuture<List<StewardId>> answer = simulation.stewards.get(leader)
            .changeMembership(who, change);
        simulation.runUntil(simulation.nowMs + 1_000, answer::isDone);
        if (answer.isDone() && !answer.isCompletedExceptionally()) {
          return;
        }
      }
      simulation.run(50);
    }
    throw new AssertionError(who + " not changed to " + change + " in 20 s");
  }

  /** Each steward loses its disk in turn and is replaced by a new one without interruption. */
  @Test
  void stewardsAreReplacedOneAtATime() throws Exception {
    StewardSimulation simulation = startSimulation(3, 6, 1, 20);
    simulation.proposeUntilAgreed(Set.of(), backends(3));
    assertInstanceOf(Granted.class, simulation.proposeUntilAgreed(Set.of(), ask("r1", "b1")));
    Set<Integer> gone = new java.util.HashSet<>();
    for (int old = 2; old >= 0; old--) {
      simulation.kill(old);
      gone.add(old);
      for (int i = 0; i < 30; i++) {
        simulation.proposeUntilAgreed(gone, Command.Tick::new);
      }
      StewardId fresh = simulation.ids.get(simulation.join());
      awaitChange(simulation, gone, fresh, Steward.MembershipChange.LISTEN);
      awaitChange(simulation, gone, fresh, Steward.MembershipChange.VOTE);
      awaitChange(simulation, gone, simulation.ids.get(old), Steward.MembershipChange.LEAVE);
    }
    assertInstanceOf(Waiting.class, simulation.proposeUntilAgreed(gone, ask("r2", "b2")));
    int leader = simulation.leader(gone);
    assertEquals(3, simulation.stewards.get(leader).votingMembers().size());
    assertEquals(1, simulation.stewards.get(leader).record().out(Kind.BACKEND));
    simulation.kill(leader);
    gone.add(leader);
    assertInstanceOf(Granted.class, simulation.proposeUntilAgreed(gone, ask("r1", "b1")));
  }

  /**
   * A leader is repeatedly stopped for about the election timeout, so that its messages meet an election that
   * has just begun; later it is killed. The remaining stewards must elect another leader.
   */
  @Test
  void anotherLeaderIsElectedAfterPausesAndDeathOfALeader() throws Exception {
    for (long seed = 1; seed <= Long.getLong("willowdoor.seeds", 20); seed++) {
      Random random = new Random(seed);
      StewardSimulation simulation = startSimulation(3 + 2 * random.nextInt(2), seed, 1, 30);
      simulation.maxDelayMs = 5 + random.nextInt(60);
      simulation.proposeUntilAgreed(Set.of(), backends(1));
      Set<Integer> dead = new java.util.HashSet<>();
      for (int mayStillDie = (simulation.ids.size() - 1) / 2; mayStillDie >= 0; mayStillDie--) {
        for (int i = 0; i < 10; i++) {
          int paused = simulation.leader(dead);
          if (paused >= 0) {
            simulation.stop(paused);
            simulation.run(400 + random.nextInt(300));
            simulation.resume(paused);
          }
          simulation.run(100 + random.nextInt(400));
        }
        assertTrue(simulation.runUntil(simulation.nowMs + 10_000, () -> simulation.leader(dead) >= 0),
            "seed " + seed + ", " + dead + " dead: no leader");
        simulation.proposeUntilAgreed(dead, Command.Tick::new);
        if (mayStillDie > 0) {
          int leader = simulation.leader(dead);
          simulation.kill(leader);
          dead.add(leader);
        }
      }
    }
  }

  /** A steward whose disk is full ends; granted permits stay, and it recovers once there is space. */
  @Test
  void aStewardWithAFullDiskEndsAndTheOthersContinue() throws Exception {
    StewardSimulation simulation = startSimulation(3, 7, 1, 10_000);
    simulation.proposeUntilAgreed(Set.of(), backends(3));
    assertInstanceOf(Granted.class, simulation.proposeUntilAgreed(Set.of(), ask("r1", "b1")));
    for (int full : List.of((simulation.leader(Set.of()) + 1) % 3, simulation.leader(Set.of()))) {
      simulation.kill(full);
      simulation.proposeUntilAgreed(Set.of(full), backends(3));
      simulation.start(full, 40);
      double limit = simulation.nowMs + 60_000;
      while (!simulation.stewards.get(full).hasEnded() && simulation.nowMs < limit) {
        simulation.proposeUntilAgreed(Set.of(full), backends(500));
      }
      assertTrue(simulation.stewards.get(full).hasEnded(), "steward " + full);
      assertInstanceOf(Waiting.class, simulation.proposeUntilAgreed(Set.of(full), ask("r2", "b2")));
      simulation.kill(full);
      simulation.start(full);
    }
    assertAllAgree(simulation, "seed 7");
    assertEquals(1, simulation.stewards.get(0).record().out(Kind.BACKEND));
  }

  /** A steward with a corrupt or truncated store must not start, and its error names the store. */
  @Test
  void aDamagedStoreIsNamedInTheError() throws Exception {
    StewardSimulation simulation = startSimulation(3, 8, 1, 10_000);
    simulation.proposeUntilAgreed(Set.of(), backends(2_000));
    simulation.run(1_000);
    for (int torn = 0; torn < 2; torn++) {
      simulation.kill(torn);
      Path disk = simulation.disk(torn);
      byte[] bytes = java.nio.file.Files.readAllBytes(disk);
      if (torn == 0) {
        java.util.Arrays.fill(bytes, 0, 4_096, (byte) 7);
      } else {
        bytes = java.util.Arrays.copyOf(bytes, bytes.length / 2);
      }
      java.nio.file.Files.write(disk, bytes);
      int me = torn;
      IOException why = assertThrows(IOException.class, () -> simulation.start(me));
      assertTrue(why.getMessage().contains("store"), why.getMessage());
    }
  }

  /** Under lost messages, partitions, stops and kills, all records agree and granted permits stay. */
  @Test
  void grantedPermitsHoldUnderRandomFaults() throws Exception {
    for (long seed = 1; seed <= Long.getLong("willowdoor.seeds", 20); seed++) {
      Random random = new Random(seed);
      StewardSimulation simulation = startSimulation(3 + 2 * random.nextInt(2), seed, 2, 30);
      simulation.lossProbability = 0.1 * random.nextDouble();
      simulation.maxDelayMs = 1 + random.nextInt(80);
      simulation.proposeUntilAgreed(Set.of(), backends(6));
      Map<String, Long> permitsByRequest = new HashMap<>();
      Map<CompletableFuture<Outcome>, String> asked = new HashMap<>();
      for (int step = 0; step < 40; step++) {
        int steward = random.nextInt(simulation.ids.size());
        String request = "r" + random.nextInt(6);
        switch (random.nextInt(8)) {
          case 0 -> simulation.partition(Set.of(steward));
          case 1 -> simulation.cutLinks.clear();
          case 2 -> simulation.stop(steward);
          case 3 -> simulation.restartStopped();
          case 4 -> simulation.kill(steward);
          default -> {
            if (simulation.isRunning(steward)) {
              asked.put(simulation.propose(steward, ask(request, "b" + request.substring(1))), request);
            }
          }
        }
        simulation.run(random.nextInt(400));
      }
      String what = "seed " + seed;
      assertAllAgree(simulation, what);
      asked.forEach((answer, request) -> {
        if (granted(answer)) {
          long permit = ((Granted) answer.join()).permit();
          assertEquals(permit, permitsByRequest.merge(request, permit, (a, b) -> a.equals(b) ? a : -1), what);
        }
      });
      List<Permit> permits = simulation.stewards.get(0).record().state().permits();
      permitsByRequest.forEach((request, id) -> assertTrue(permits.stream().anyMatch(x -> x.id() == id
          && x.request().equals(request) && x.stage() != Permit.Stage.WAITING), what + " " + request));
      assertTrue(permits.stream().filter(x -> x.stage() != Permit.Stage.WAITING).count() <= 2, what);
    }
  }
}
