package willowdoor.daemon.agreement;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.UUID;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import willowdoor.agreement.Command.StartRelease;
import willowdoor.agreement.Command.SteerRelease;
import willowdoor.agreement.Command.Steering;
import willowdoor.agreement.Outcome;
import willowdoor.daemon.config.ConfigException;
import willowdoor.daemon.config.PlanFile;
import willowdoor.rollout.Plan;
import willowdoor.rollout.Release;
import willowdoor.rollout.Release.Mode;
import willowdoor.rollout.Step;
import willowdoor.steward.link.Answer;
import willowdoor.steward.link.OperatorClient;

/** The operators' commands for releases. */
@Command(name = "release", mixinStandardHelpOptions = true, description = {
    "Replaces all doors by another version, a few at a time; a release can be halted and rolled back.",
    "The stewards carry out the release: this command may end, or die, once it was answered yes."},
    subcommands = {ReleaseCommand.Start.class, ReleaseCommand.Status.class, ReleaseCommand.Pause.class,
        ReleaseCommand.Resume.class, ReleaseCommand.Halt.class, ReleaseCommand.Back.class},
    footer = {"", "Exit codes: 0 yes; 1 no answer from the stewards, so the outcome is unknown; "
        + "2 bad command line or plan; 3 no; 4 not yet"})
public final class ReleaseCommand {

  private static final long POLL_INTERVAL_MS = 200;

  private ReleaseCommand() {
  }

  @Command(name = "start", mixinStandardHelpOptions = true, description = "Starts a release.")
  static final class Start implements Callable<Integer> {
    @Mixin
    private PermitsCommand.StewardOptions at;
    @Option(names = "--plan", required = true, paramLabel = "FILE", description = "The plan, in TOML.")
    private Path plan;
    @Option(names = "--request", description =
        "The name of the request; repeating a name repeats the same request. Default: a new name.")
    private String request = UUID.randomUUID().toString();
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
      Plan read;
      try {
        read = PlanFile.read(plan);
      } catch (ConfigException | IOException e) {
        spec.commandLine().getErr().println("willowdoor: " + e.getMessage());
        return 2;
      }
      return at.put(new StartRelease(0, request, read, at.by));
    }
  }

  /** Base of the commands that steer the current release. */
  abstract static class Steer implements Callable<Integer> {
    @Mixin
    private PermitsCommand.StewardOptions at;
    @Option(names = "--wait-ms", defaultValue = "0", description = {
        "Wait at most this long, in ms, until no step is under way; exit code 4 if one still is.",
        "Default: ${DEFAULT-VALUE}."})
    private long waitMs;
    @Spec
    private CommandSpec spec;
    private final Steering steering;

    Steer(Steering steering) {
      this.steering = steering;
    }

    @Override
    public Integer call() throws InterruptedException {
      try (OperatorClient operator = at.operator()) {
        Answer answer = operator.status(at.limitMs);
        if (!(answer instanceof Answer.Stands e)) {
          return at.printAnswer(answer);
        }
        Release last = last(e.standing().releases());
        if (last == null || last.mode() == Mode.ENDED) {
          return at.printAnswer(new Answer.Came(new Outcome.Refused("no release is under way")));
        }
        Answer steered = operator.put(new SteerRelease(0, UUID.randomUUID().toString(), last.id(), steering,
            at.by),
            at.limitMs);
        int code = at.printAnswer(steered);
        return code != 0 || waitMs == 0 ? code : await(operator, last.id());
      }
    }

    private int await(OperatorClient operator, long id) throws InterruptedException {
      long deadlineNanos = System.nanoTime() + waitMs * 1_000_000;
      String remaining = "no steward reported the state of the release";
      while (System.nanoTime() < deadlineNanos) {
        if (operator.status(at.limitMs) instanceof Answer.Stands e) {
          Release now = last(e.standing().releases());
          if (now.id() != id || now.hasStopped()) {
            spec.commandLine().getOut().println("no step of the release is under way any more");
            return 0;
          }
          remaining = "under way: " + String.join(", ", now.steps().stream().map(Step::door).toList());
        }
        Thread.sleep(POLL_INTERVAL_MS);
      }
      spec.commandLine().getOut().println(remaining);
      return PermitsCommand.WAITING_FOR_TURN;
    }
  }

  @Command(name = "pause", mixinStandardHelpOptions = true, description =
      "Starts no further steps until the release is resumed; steps under way continue.")
  static final class Pause extends Steer {
    Pause() {
      super(Steering.PAUSE);
    }
  }

  @Command(name = "resume", mixinStandardHelpOptions = true, description = {
      "Continues the release in its current direction.",
      "The evidence against the version collected so far is discarded."})
  static final class Resume extends Steer {
    Resume() {
      super(Steering.RESUME);
    }
  }

  @Command(name = "halt", mixinStandardHelpOptions = true, description = {
      "Starts no further steps, and withdraws steps that have not begun at their door.",
      "A door whose step is under way ends with one of the two versions."})
  static final class Halt extends Steer {
    Halt() {
      super(Steering.HALT);
    }
  }

  @Command(name = "back", mixinStandardHelpOptions = true, description =
      "Rolls every door back to its previous version, within the same budgets.")
  static final class Back extends Steer {
    Back() {
      super(Steering.BACK);
    }
  }

  private static Release last(List<Release> releases) {
    return releases.isEmpty() ? null : releases.get(releases.size() - 1);
  }

  @Command(name = "status", mixinStandardHelpOptions = true, description =
      "Prints the state of releases, as confirmed by a majority of the stewards.")
  static final class Status implements Callable<Integer> {
    @Mixin
    private PermitsCommand.StewardOptions at;
    @Option(names = "--json", description = "Print JSON, for programs.")
    private boolean json;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException, IOException {
      try (OperatorClient operator = at.operator()) {
        Answer answer = operator.status(at.limitMs);
        if (!(answer instanceof Answer.Stands e)) {
          return at.printAnswer(answer);
        }
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
          out.println(new ObjectMapper().writeValueAsString(e.standing().releases()));
        } else if (e.standing().releases().isEmpty()) {
          out.println("no release yet");
        } else {
          e.standing().releases().forEach(x -> print(out, x));
        }
        return 0;
      }
    }

    private static void print(PrintWriter out, Release r) {
      out.printf(Locale.ROOT, "release %d, %s to %s, %s, %s: %s%n  %d doors with %s, %d with %s, of %d;"
          + " wave %d of %d%s%n", r.id(), r.plan().from(), r.plan().to(), lower(r.course()), lower(r.mode()),
          r.why(), r.countWithVersion(r.plan().from()), r.plan().from(), r.countWithVersion(r.plan().to()),
          r.plan().to(),
          r.order().size(), r.wave() + 1, r.plan().waves().size(), r.bakesSince() >= 0 ? ", compared now"
              : "");
      for (Step x : r.steps()) {
        out.printf(Locale.ROOT, "  %s to %s: %s, attempt %d%n", x.door(), x.version(), lower(x.state()),
            x.attempt());
      }
    }

    private static String lower(Enum<?> value) {
      return value.name().toLowerCase(Locale.ROOT);
    }
  }
}
