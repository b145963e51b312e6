package willowdoor.daemon.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.function.IntFunction;
import willowdoor.testkit.TestEnvironment;
import willowdoor.testkit.StandInDiscovery.Listed;
import willowdoor.testkit.RunSettings;
import willowdoor.testkit.RunSettings.PlanTerms;

/** Writes the configuration files of a rig's doors, which express the rig's terms as daemon settings. */
public final class DoorFiles {

  private final TestEnvironment rig;
  private final Path folder;
  private final int doors;
  private IntFunction<String> additionalTables = door -> "";
  /** Lines of the counter table that replace the rig's counter address, or null. */
  private IntFunction<String> counterLines;

  public DoorFiles(TestEnvironment rig, Path folder, int doors) {
    this.rig = rig;
    this.folder = folder;
    this.doors = doors;
  }

  /** Adds tables to every file written from now on. */
  public void addTables(IntFunction<String> tables) {
    additionalTables = tables;
  }

  /** Sets the counter lines of each door, by its number, instead of the rig's counter. */
  public void setCounterLines(IntFunction<String> lines) {
    counterLines = lines;
  }

  /** Writes the file of the door with the given index, with the backends that discovery lists now. */
  public Path write(int index, InetSocketAddress listen) {
    Path file = folder.resolve("d" + index + ".toml");
    try {
      return Files.writeString(file, text(index, listen));
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write " + file, e);
    }
  }

  /** The control socket of the door with the given index. */
  public Path controlSocket(int index) {
    return folder.resolve("d" + index + ".sock");
  }

  String text(int index, InetSocketAddress listen) {
    RunSettings t = rig.runSettings();
    StringBuilder text = new StringBuilder(String.format(Locale.ROOT, """
        [instance]
        name = "d%d"
        listen = "%s"
        doors = %d
        index = %d
        zone = "%s"
        [discovery]
        address = "%s"
        [counter]
        %s
        call_limit_ms = %s
        [limits]
        descriptors = 1024
        memory_mb = 128
        [take_over]
        control_socket = "%s"
        [backends]
        cold_share = %s
        cold_ms = %s
        tip_multiple = %s
        tip_after_ms = %s
        [units]
        most = %d
        [[class]]
        name = "check-quote"
        worth = 1
        aim_ms = 1500
        deadline_ms = %s
        repeat = "safe"
        [[class]]
        name = "register-buy"
        worth = 5
        aim_ms = 1200
        deadline_ms = %s
        repeat = "keyed"
        repeat_window_ms = %s
        [[class]]
        name = "move-title"
        worth = 3
        aim_ms = 1500
        deadline_ms = %s
        repeat = "unsafe"
        """, index, text(listen), doors, index, index % 2 == 0 ? "a" : "b",
        text(rig.discovery().agentOf("d" + index)), counterLines != null ? counterLines.apply(index)
            : "address = \"" +
            text(rig.counter().address(index)) + '"', t.counterLimitMs(),
        controlSocket(index), t.coldFrom(), t.coldMs(), t.tipMultiple(), t.tipAfterMs(),
        RunSettings.MAX_UNITS,
        t.deadlineMs(), t.deadlineMs(), t.keyWindowMs(), t.deadlineMs()));
    for (PlanTerms p : t.plans()) {
      text.append(String.format(Locale.ROOT, """
          [[plan]]
          name = "%s"
          units_per_s = %s
          burst_units = %s
          worth_factor = 1.5
          ceiling_units_per_s = %s
          ceiling_burst_units = %s
          ceiling_slack_units = %s
          open_requests = %d
          """, p.name(), p.rate(), p.burst(), p.ceilingRate(), p.ceilingBurst(), p.ceilingSlack(),
          p.openLimit()));
    }
    for (Listed b : rig.discovery().listed()) {
      if (b.state().equals("active")) {
        text.append(String.format("[[backend]]%nid = \"%s\"%naddress = \"%s\"%nzone = \"%s\"%n", b.id(),
            text(b.address()), b.zone()));
      }
    }
    return text.append(additionalTables.apply(index)).toString();
  }

  private static String text(InetSocketAddress a) {
    return a.getAddress().getHostAddress() + ':' + a.getPort();
  }
}
