package willowdoor.daemon.agreement;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import willowdoor.daemon.config.ConfigException;
import willowdoor.daemon.config.StewardConfig;
import willowdoor.net.ReloadTrigger;
import willowdoor.net.Signals;
import willowdoor.steward.link.StewardProcess;

/** Runs a steward, one of the replicas that keep the agreement of the fleet. */
@Command(name = "steward", mixinStandardHelpOptions = true, description =
    "Runs one of the few processes that keep the fleet's record of drains, until a signal ends it.")
public final class StewardCommand implements Callable<Integer> {

  @Option(names = "--config", required = true, paramLabel = "FILE", description =
      "The configuration, in TOML.")
  private Path config;

  @Option(names = "--begin", description = {
      "The record's file may be new: this steward has made no promises yet.",
      "Never for one whose disk was lost: it would forget its votes."})
  private boolean begin;

  @Option(names = "--join", description = {
      "The record's file may be new: this steward joins those that have the record, under a name or disk",
      "number that was never used before, and takes part once it was added (permits steward)."})
  private boolean join;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() throws InterruptedException {
    ReloadTrigger replaced = new ReloadTrigger(config);
    try (StewardProcess steward = new StewardProcess(StewardConfig.read(config, start()))) {
      replaced.onReload(() -> reload(steward));
      Signals.handle("TERM", steward::end);
      Signals.handle("INT", steward::end);
      spec.commandLine().getOut().println("steward at " + steward.address());
      spec.commandLine().getOut().flush();
      return steward.ended().join();
    } catch (ConfigException e) {
      return fail(e, 2);
    } catch (IOException e) {
      return fail(e, 1);
    }
  }

  private StewardProcess.Start start() {
    if (begin && join) {
      throw new ParameterException(spec.commandLine(), "--begin and --join (expected: one of them at most)");
    }
    return begin ? StewardProcess.Start.BEGIN : join ? StewardProcess.Start.JOIN : StewardProcess.Start.GO_ON;
  }

  /** Applies changed members and addresses only; an invalid file changes nothing. */
  private void reload(StewardProcess steward) {
    try {
      steward.reload(StewardConfig.read(config, StewardProcess.Start.GO_ON).members());
    } catch (ConfigException | IOException e) {
      spec.commandLine().getErr().println("willowdoor: nothing is reloaded: " + e.getMessage());
    }
  }

  private int fail(Exception e, int code) {
    spec.commandLine().getErr().println("willowdoor: " + e.getMessage());
    return code;
  }
}
