package willowdoor.daemon.agreement;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import willowdoor.agreement.DoorProcessState;
import willowdoor.agreement.Note;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.Permit;
import willowdoor.agreement.Subject;
import willowdoor.agreement.Subject.Kind;
import willowdoor.net.EndpointUpdate;
import willowdoor.steward.Steward;
import willowdoor.steward.StewardId;
import willowdoor.steward.link.Answer;
import willowdoor.steward.link.OperatorClient;
import willowdoor.steward.link.FleetStatus;

/**
 * The operators' commands to the stewards: permits to take doors and backends out, and the stewards' roles.
 */
@Command(name = "permits", mixinStandardHelpOptions = true, description =
    "Takes doors and backends out of the fleet within a budget, and puts them back.",
    subcommands = {PermitsCommand.Ask.class, PermitsCommand.Return.class, PermitsCommand.Forget.class,
        PermitsCommand.ChangeSteward.class, PermitsCommand.Status.class},
    footer = {"", "Exit codes: 0 yes; 1 no answer from the stewards, so the outcome is unknown; "
        + "2 bad command line; 3 no; 4 the request waits for its turn"})
public final class PermitsCommand {

  static final int NO_ANSWER = 1;
  static final int NO = 3;
  static final int WAITING_FOR_TURN = 4;

  private PermitsCommand() {
  }

  /** The options of all commands that call the stewards. */
  static final class StewardOptions {
    @Option(names = "--stewards", required = true, split = ",", paramLabel = "ADDRESS", description =
        "Addresses of stewards, such as 127.0.0.1:7101; one that answers is enough.")
    private List<String> stewards;
    @Option(names = "--fleet", defaultValue = "fleet", description = "Default: ${DEFAULT-VALUE}.")
    private String fleet;
    @Option(names = "--by", defaultValue = "${sys:user.name}", description =
        "Who asks, as recorded by the stewards. Default: ${DEFAULT-VALUE}.")
    String by;
    @Option(names = "--limit-ms", defaultValue = "5000", description =
        "Timeout for an answer, in ms. Default: ${DEFAULT-VALUE}.")
    long limitMs;
    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    OperatorClient operator() {
      List<InetSocketAddress> all = stewards.stream().map(EndpointUpdate::parseAddress).toList();
      if (all.contains(null)) {
        throw new ParameterException(spec.commandLine(), "--stewards " + String.join(",", stewards)
            + " (expected: numeric addresses with ports)");
      }
      return new OperatorClient(fleet, by, all);
    }

    int put(willowdoor.agreement.Command command) throws InterruptedException {
      try (OperatorClient operator = operator()) {
        return printAnswer(operator.put(command, limitMs));
      }
    }

    int printAnswer(Answer answer) {
      PrintWriter out = spec.commandLine().getOut();
      if (answer instanceof Answer.Failed e) {
        spec.commandLine().getErr().println("willowdoor: " + e.why());
        return NO_ANSWER;
      }
      Outcome outcome = ((Answer.Came) answer).outcome();
      if (outcome instanceof Outcome.Refused e) {
        out.println("no: " + e.why());
        return NO;
      }
      if (outcome instanceof Outcome.Waiting e) {
        out.println("waits as number " + e.place() + ", permit " + e.permit() + ": " + e.why());
        return WAITING_FOR_TURN;
      }
      out.println(outcome instanceof Outcome.Granted e ? "yes, permit " + e.permit()
          : outcome instanceof Outcome.ReleaseStarted e ? "yes, release " + e.release() : "yes");
      return 0;
    }
  }

  /** The parameters that name a door, or a backend by its name in discovery. */
  static final class SubjectParameters {
    @Parameters(index = "0", paramLabel = "KIND", description = "door or backend")
    private String kind;
    @Parameters(index = "1", paramLabel = "NAME")
    private String name;
    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    private Subject subject() {
      return switch (kind) {
        case "door" -> new Subject(Kind.DOOR, name);
        case "backend" -> new Subject(Kind.BACKEND, Long.toHexString(EndpointUpdate.idOf(name)));
        default -> throw new ParameterException(spec.commandLine(), "\"" + kind
            + "\" (expected: door or backend)");
      };
    }
  }

  @Command(name = "ask", mixinStandardHelpOptions = true, description =
      "Asks to take a door or a backend out.")
  static final class Ask implements Callable<Integer> {
    @Mixin
    private SubjectParameters what;
    @Mixin
    private StewardOptions at;
    @Option(names = "--reason", required = true, description = "The reason, as recorded by the stewards.")
    private String reason;
    @Option(names = "--request", description =
        "The name of the request; repeating a name repeats the same request. Default: a new name.")
    private String request = UUID.randomUUID().toString();
    @Option(names = "--force", description = "Exceed the budget; this is recorded.")
    private boolean force;

    @Override
    public Integer call() throws InterruptedException {
      return at.put(new willowdoor.agreement.Command
          .RequestPermit(0, request, what.subject(), at.by, reason, force));
    }
  }

  @Command(name = "return", mixinStandardHelpOptions = true, description =
      "Puts a door or a backend back, or withdraws the request to take it out.")
  static final class Return implements Callable<Integer> {
    @Mixin
    private SubjectParameters what;
    @Mixin
    private StewardOptions at;

    @Override
    public Integer call() throws InterruptedException {
      Subject subject = what.subject();
      try (OperatorClient operator = at.operator()) {
        Answer answer = operator.status(at.limitMs);
        if (!(answer instanceof Answer.Stands e)) {
          return at.printAnswer(answer);
        }
        Optional<Permit> permit = e.standing().permits().stream().filter(x -> x.subject().equals(subject))
            .findFirst();
        if (permit.isEmpty()) {
          return at.printAnswer(new Answer.Came(new Outcome.Refused(subject + " is not out on purpose")));
        }
        return at.printAnswer(operator.put(new willowdoor.agreement.Command.ReturnPermit(0, subject,
            permit.get().id(), at.by), at.limitMs));
      }
    }
  }

  @Command(name = "forget", mixinStandardHelpOptions = true, description =
      "Confirms that a door's machine is gone, so that nothing waits for its reports; or, as backend/NAME,"
      + " that a backend that was taken out and is no longer listed is not expected back.")
  static final class Forget implements Callable<Integer> {
    @Parameters(paramLabel = "DOOR")
    private String door;
    @Mixin
    private StewardOptions at;

    @Override
    public Integer call() throws InterruptedException {
      return at.put(new willowdoor.agreement.Command.Forget(0, UUID.randomUUID().toString(), door, at.by));
    }
  }

  @Command(name = "steward", mixinStandardHelpOptions = true, description = {
      "Changes the role of a steward. A new one first listens, then votes; a removed one leaves.",
      "Its address must be in the configuration files of the other stewards before."})
  static final class ChangeSteward implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "NAME")
    private String name;
    @Parameters(index = "1", paramLabel = "PART", description = "${COMPLETION-CANDIDATES}")
    private Steward.MembershipChange change;
    @Option(names = "--disk", defaultValue = "1", description = "Default: ${DEFAULT-VALUE}.")
    private int disk;
    @Mixin
    private StewardOptions at;

    @Override
    public Integer call() throws InterruptedException {
      try (OperatorClient operator = at.operator()) {
        Answer answer = operator
            .changeMembership(new StewardId(name, Integer.toString(disk)), change, at.limitMs);
        if (!(answer instanceof Answer.Votes e)) {
          return at.printAnswer(answer);
        }
        at.spec.commandLine().getOut().println("yes; these vote: " + e.voting());
        return 0;
      }
    }
  }

  @Command(name = "status", mixinStandardHelpOptions = true, description =
      "Prints the state of the fleet, as confirmed by a majority of the stewards.")
  static final class Status implements Callable<Integer> {
    @Mixin
    private StewardOptions at;
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
          out.println(new ObjectMapper().writeValueAsString(e.standing()));
        } else {
          print(out, e.standing());
        }
        return 0;
      }
    }

    private static void print(PrintWriter out, FleetStatus s) {
      out.printf(Locale.ROOT, "steward %s leads; %d commands agreed on%ndoors: %d, of them out: %d%n"
          + "backends: %d, of them out: %d%n", s.leader(), s.index(), s.doors(), s.doorsOut(), s.backends(),
          s.backendsOut());
      for (DoorProcessState x : s.lives()) {
        out.printf(Locale.ROOT, "  %-20s %-24s %s%n", x.door(), x.incarnation(), lower(x.doing()));
      }
      for (int i = 0; i < s.permits().size(); i++) {
        Permit x = s.permits().get(i);
        out.printf(Locale.ROOT, "permit %d: %s %s, asked for by %s: %s%s%s%n", x.id(), x.subject(),
            lower(x.stage()), x.by(), x.reason(), x.force() ? " (by force)" : "",
            s.held().get(i).isEmpty() ? "" : "; held up by " + String.join(", ", s.held().get(i)));
      }
      for (Note x : s.notes()) {
        out.printf(Locale.ROOT, "note: %s %s%n", x.by(), x.what());
      }
    }

    private static String lower(Enum<?> value) {
      return value.name().toLowerCase(Locale.ROOT);
    }
  }
}
