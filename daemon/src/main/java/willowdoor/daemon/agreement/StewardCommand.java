package willowdoor.daemon.agreement;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import willowdoor.daemon.config.ConfigException;
import willowdoor.daemon.config.StewardConfig;
import willowdoor.net.Signals;
import willowdoor.steward.link.StewardProcess;

/** Runs one of those who keep what the fleet agrees on. */
@Command(name = "steward", mixinStandardHelpOptions = true, description =
    "Runs one of the few processes that keep the fleet's record of drains, until it is told to end.")
public final class StewardCommand implements Callable<Integer> {

  @Option(names = "--config", required = true, paramLabel = "FILE", description =
      "The configuration, in TOML.")
  private Path config;

  @Option(names = "--begin", description = {
      "The record's file may be new: this steward has promised nothing yet.",
      "Never for one whose disk was lost: it would forget its votes."})
  private boolean begin;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() throws InterruptedException {
    try (StewardProcess steward = new StewardProcess(StewardConfig.read(config, begin))) {
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

  private int fail(Exception e, int code) {
    spec.commandLine().getErr().println("willowdoor: " + e.getMessage());
    return code;
  }
}
