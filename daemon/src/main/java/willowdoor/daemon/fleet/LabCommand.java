package willowdoor.daemon.fleet;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import willowdoor.emulator.fair.FairSize;
import willowdoor.emulator.fair.FairSweep;

/** Experiments with the production decision code in simulated time. */
@Command(name = "lab", mixinStandardHelpOptions = true, subcommands = {LabCommand.Fair.class,
    LabCommand.FairHeap.class},
    description = "Experiments with the production decision code in simulated time.")
public final class LabCommand {

  @Command(name = "fair-heap", mixinStandardHelpOptions = true, description =
      "Measures the heap of a fair queue at its bounds and beyond.")
  static final class FairHeap implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
      FairSize.run(spec.commandLine().getOut());
    }
  }

  @Command(name = "fair", mixinStandardHelpOptions = true, description = {
      "Floods beside well-behaved firms, with the fair queue and without.",
      "Sweeps flood size, clients, doors and the work of requests; writes a table and a chart."})
  static final class Fair implements Runnable {

    @Option(names = "--seed", defaultValue = "1", description = "Default: ${DEFAULT-VALUE}.")
    private long seed;

    @Option(names = "--seconds", defaultValue = "30", description =
        "Simulated length of each run. Default: ${DEFAULT-VALUE}.")
    private double seconds;

    @Option(names = "--chart", paramLabel = "FILE", description = "A PNG file to write the chart to.")
    private File chart;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
      PrintWriter out = spec.commandLine().getOut();
      try {
        FairSweep sweep = new FairSweep(seed, seconds * 1_000);
        sweep.measureSpread(out);
        sweep.runAll(out, chart);
      } catch (IOException e) {
        throw new java.io.UncheckedIOException("cannot write " + chart, e);
      }
    }
  }
}
