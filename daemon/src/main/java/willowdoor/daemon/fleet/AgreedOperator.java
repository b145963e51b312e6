package willowdoor.daemon.fleet;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import willowdoor.agreement.Command.RequestPermit;
import willowdoor.agreement.Command.ReturnPermit;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.Outcome.Granted;
import willowdoor.agreement.Outcome.Waiting;
import willowdoor.agreement.Permit;
import willowdoor.agreement.Permit.Stage;
import willowdoor.agreement.Subject;
import willowdoor.agreement.Subject.Kind;
import willowdoor.steward.link.Answer;
import willowdoor.steward.link.OperatorClient;
import willowdoor.steward.link.FleetStatus;
import willowdoor.testkit.EventHistory;

/**
 * An operator that repeatedly takes doors and backends out of service and returns them, until it is stopped.
 * The ledger records answers after they arrive and requests before they are sent. Now and then the operator
 * abandons a command, which leaves its permit in place.
 */
final class AgreedOperator implements Runnable {

  /** Counts over all operators of a run. */
  record Counts(AtomicInteger granted, AtomicInteger gaveUpWaiting, AtomicInteger backendsOut,
      AtomicInteger unanswered,
      AtomicInteger abandoned) {

    Counts() {
      this(new AtomicInteger(), new AtomicInteger(), new AtomicInteger(), new AtomicInteger(),
          new AtomicInteger());
    }
  }

  private static final long WAIT_LIMIT_MS = 2_500;
  private static final long CALL_TIMEOUT_MS = 1_500;
  private static final double ABANDON_PROBABILITY = 0.1;

  private final Stewards stewards;
  private final EventHistory ledger;
  private final String name;
  private final Map<Subject, String> subjects;
  private final Random random;
  private final AtomicBoolean running;
  private final Counts counts;
  private int requests;

  /** Creates an operator; subjects maps what it may take out to the name in the ledger. */
  AgreedOperator(Stewards stewards, EventHistory ledger, String name, Map<Subject, String> subjects,
      long seed,
      AtomicBoolean running, Counts counts) {
    this.stewards = stewards;
    this.ledger = ledger;
    this.name = name;
    this.subjects = subjects;
    this.random = new Random(seed);
    this.running = running;
    this.counts = counts;
  }

  @Override
  public void run() {
    List<Subject> all = List.copyOf(subjects.keySet());
    try (OperatorClient operator = stewards.operator(name)) {
      while (running.get()) {
        takeOut(operator, all.get(random.nextInt(all.size())));
        Thread.sleep(random.nextInt(200));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void takeOut(OperatorClient operator, Subject subject) throws InterruptedException {
    String request = name + "-" + ++requests;
    long until = System.nanoTime() + WAIT_LIMIT_MS * 1_000_000;
    long permit = -1;
    boolean granted = false;
    do {
      Answer answer = operator
          .put(new RequestPermit(0, request, subject, name, "test", false), CALL_TIMEOUT_MS);
      Outcome outcome = answer instanceof Answer.Came came ? came.outcome() : null;
      if (outcome instanceof Granted e) {
        permit = e.permit();
        granted = true;
        ledger.addMachineEntry(EventHistory.Kind.PERMITTED, subjects.get(subject), Long.toString(permit));
        counts.granted.incrementAndGet();
      } else if (outcome instanceof Waiting e) {
        permit = e.permit();
        Thread.sleep(50);
      } else if (outcome != null) {
        return;
      } else {
        counts.unanswered.incrementAndGet();
      }
    } while (!granted && System.nanoTime() < until && running.get());
    if (random.nextDouble() < ABANDON_PROBABILITY) {
      counts.abandoned.incrementAndGet();
      return;
    }
    if (granted && subject.kind() == Kind.BACKEND) {
      awaitOut(subject, permit);
    }
    if (granted) {
      Thread.sleep(300 + random.nextInt(700));
    } else {
      counts.gaveUpWaiting.incrementAndGet();
    }
    if (permit >= 0) {
      returnPermit(operator, subject, permit);
    }
  }

  private void awaitOut(Subject subject, long permit) throws InterruptedException {
    long until = System.nanoTime() + WAIT_LIMIT_MS * 1_000_000;
    while (System.nanoTime() < until) {
      FleetStatus s = stewards.status();
      if (s != null && s.permits().stream().anyMatch(x -> x.id() == permit && x.stage() == Stage.OUT)) {
        ledger.addMachineEntry(EventHistory.Kind.OUT, subjects.get(subject), Long.toString(permit));
        counts.backendsOut.incrementAndGet();
        return;
      }
      Thread.sleep(50);
    }
  }

  private void returnPermit(OperatorClient operator, Subject subject,
      long permit) throws InterruptedException {
    ledger.addMachineEntry(EventHistory.Kind.GIVEN_BACK, subjects.get(subject), Long.toString(permit));
    operator.put(new ReturnPermit(0, subject, permit, name), CALL_TIMEOUT_MS);
  }

  /** Returns all remaining permits; true once nothing is out, false if the limit passes first. */
  static boolean returnAllPermits(Stewards stewards, EventHistory ledger, Map<Subject, String> subjects,
      long limitMs)
      throws InterruptedException {
    long until = System.nanoTime() + limitMs * 1_000_000;
    try (OperatorClient operator = stewards.operator("tidy")) {
      while (System.nanoTime() < until) {
        FleetStatus s = stewards.status();
        if (s != null && s.permits().isEmpty() && s.doorsOut() == 0 && s.backendsOut() == 0) {
          return true;
        }
        for (Permit x : s == null ? List.<Permit>of() : s.permits()) {
          if (x.stage() != Stage.RETURNING) {
            ledger.addMachineEntry(EventHistory.Kind.GIVEN_BACK, subjects.get(x.subject()),
                Long.toString(x.id()));
            operator.put(new ReturnPermit(0, x.subject(), x.id(), "tidy"), CALL_TIMEOUT_MS);
          }
        }
        Thread.sleep(100);
      }
    }
    return false;
  }
}
