package willowdoor.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import willowdoor.Main;
import willowdoor.daemon.agreement.PermitsCommand;
import willowdoor.daemon.agreement.StewardCommand;
import willowdoor.daemon.config.ConfigException;
import willowdoor.daemon.config.DaemonConfig;
import willowdoor.daemon.fleet.AgreedCommand;
import willowdoor.daemon.fleet.AuthorisedCommand;
import willowdoor.daemon.fleet.CounterCommand;
import willowdoor.daemon.fleet.DemoCommand;
import willowdoor.daemon.fleet.FairCommand;
import willowdoor.daemon.fleet.FleetCommand;
import willowdoor.daemon.fleet.LabCommand;
import willowdoor.daemon.fleet.ReleasedCommand;
import willowdoor.daemon.life.Daemon;
import willowdoor.net.ReloadTrigger;
import willowdoor.net.Signals;
import willowdoor.rollout.Plan;

/** The command line of the product, with its subcommands. */
@Command(name = "willowdoor", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
    description = "A front door that keeps each customer's quota over all front doors together.",
    subcommands = {Cli.Run.class, Cli.Check.class, DemoCommand.class, FleetCommand.class,
        AuthorisedCommand.class, CounterCommand.class, FairCommand.class, LabCommand.class,
        AgreedCommand.class, ReleasedCommand.class,
        StewardCommand.class, PermitsCommand.class, Cli.Serve.class,
        Cli.BenchLinkCommand.class},
    footer = {"",
        "Exit codes: 0 ended in order or nothing wrong; 1 cannot start or go on, or a rule "
        + "was broken (demo, fleet); 2 bad command line or configuration; 3 ended over answers that "
        + "clients did not read"})
public final class Cli {

  /** Exit code for an invalid command line or configuration. */
  static final int EXIT_USAGE = 2;

  private Cli() {
  }

  public static void main(String[] args) {
    System.exit(commandLine().execute(args));
  }

  static CommandLine commandLine() {
    return new CommandLine(new Cli());
  }

  /** Provides the version from the manifest of the jar. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Cli.class.getPackage().getImplementationVersion();
      return new String[] {"willowdoor " + (version == null ? "(not packaged)" : version)};
    }
  }

  @Command(name = "daemon", description = "Runs one instance until it is told to end.",
      mixinStandardHelpOptions = true)
  static final class Run implements Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE", description =
        "The configuration, in TOML.")
    private Path config;
    @Option(names = "--take-over", description =
        "Take the listening socket over from the running instance, "
        + "if there is one.")
    private boolean takeOver;
    @Option(names = "--release", paramLabel = "VERSION", description = {
        "The name of this version of the program in releases, if the fleet uses the agreement.",
        "Default: the version of the package."})
    private String release;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
      Daemon daemon;
      try {
        ReloadTrigger replaced = new ReloadTrigger(config);
        daemon = Daemon.create(DaemonConfig.read(config), config, version());
        Signals.handle("TERM", daemon::requestEnd);
        Signals.handle("INT", daemon::requestEnd);
        replaced.onReload(daemon::reload);
        daemon.start(takeOver);
      } catch (ConfigException e) {
        return fail(e, EXIT_USAGE);
      } catch (IOException e) {
        return fail(e, 1);
      }
      return daemon.awaitEnd();
    }

    private String version() {
      String named = release == null ? Cli.class.getPackage().getImplementationVersion() : release;
      if (named == null) {
        return "unnamed";
      }
      try {
        Plan.checkVersion(named);
        return named;
      } catch (IllegalArgumentException e) {
        throw new CommandLine.ParameterException(spec.commandLine(), "--release: " + e.getMessage(), e);
      }
    }

    private int fail(Exception e, int code) {
      spec.commandLine().getErr().println("willowdoor: " + e.getMessage());
      return code;
    }
  }

  @Command(name = "check-config", description = "Checks a configuration and prints all errors in it.",
      mixinStandardHelpOptions = true)
  static final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path config;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
      try {
        DaemonConfig.read(config);
        spec.commandLine().getOut().println(config + " is good");
        return 0;
      } catch (ConfigException | IOException e) {
        spec.commandLine().getErr().println("willowdoor: " + e.getMessage());
        return EXIT_USAGE;
      }
    }
  }

  @Command(name = "serve", description = "Runs one front door by the platform's environment (GW_CONFIG).")
  static final class Serve implements Callable<Integer> {
    @Override
    public Integer call() throws InterruptedException {
      Main.main(new String[] {"serve"});
      Thread.currentThread().join();
      return 0;
    }
  }

  @Command(name = "benchlink", description = "Speaks the simulator's wire on standard input and output.")
  static final class BenchLinkCommand implements Callable<Integer> {
    @Override
    public Integer call() throws InterruptedException {
      Main.main(new String[] {"benchlink"});
      return 0;
    }
  }
}
