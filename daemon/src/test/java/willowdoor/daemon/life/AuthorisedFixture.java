package willowdoor.daemon.life;

import io.netty.handler.codec.http2.Http2Settings;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import willowdoor.testkit.InvariantChecker;
import willowdoor.testkit.EventHistory.Kind;
import willowdoor.testkit.RequestKind;
import willowdoor.testkit.StandIns;
import willowdoor.testkit.StandInAuthoriser;

/** A {@link DaemonFixture} in which buys must be allowed by stand-in authorisers. */
final class AuthorisedFixture implements AutoCloseable {

  final DaemonFixture daemons;
  final Path log;
  private final StringBuilder authorisers = new StringBuilder();
  private final List<String> names = new ArrayList<>();

  AuthorisedFixture(int backends, double workMs, boolean idempotent) throws Exception {
    daemons = new DaemonFixture(backends, workMs);
    daemons.rig.authorise(new InvariantChecker.Authorisation(a -> a.kind() == RequestKind.BUY, idempotent));
    log = daemons.folder.resolve("decisions.jsonl");
  }

  StandInAuthoriser authoriser(String name, String more) {
    return authoriser(name, new Http2Settings(), more);
  }

  StandInAuthoriser authoriser(String name, Http2Settings settings, String more) {
    StandInAuthoriser made = daemons.rig.authoriser(name, settings, null);
    addAuthoriser(made, more);
    return made;
  }

  void addAuthoriser(StandInAuthoriser made, String more) {
    authorisers.append(String.format(Locale.ROOT,
        "[[authoriser]]%nname = \"%s\"%naddress = \"%s\"%n"
        + "%s%n", made.name(), StandIns.text(made.address()), more));
    names.add('"' + made.name() + '"');
  }

  /**
   * Starts a daemon with one member that asks every authoriser made so far.
   *
   * @param member further keys of the member's table, or whole tables if it contains {@code [[member]]}
   * @param end the keys of the table [end]; empty for a short accept window
   */
  Daemon startDaemon(String member, String end) throws Exception {
    Daemon daemon = daemons.createDaemon(new InetSocketAddress("127.0.0.1", 0), "[end]\n" + (end.isEmpty()
        ? "accept_ms = 150\n" : end) + "[authorisation]\nlog = \"" + log + "\"\neject_spread = 0\n"
            + authorisers
        + (member.contains("[[member]]") ? member : "[[member]]\nname = \"all\"\nauthorisers = " + names
            + "\n"
        + member)).start(false);
    DaemonFixture.awaitUp(daemon.address());
    return daemon;
  }

  DaemonFixture.Caller caller(Daemon daemon) throws Exception {
    return daemons.new Caller(daemon.address(), "d0");
  }

  boolean reachedBackend(String id) {
    return daemons.recorded(id, Kind.FIRST_BYTE);
  }

  long count(String id, Kind kind) {
    return daemons.history(id).stream().filter(e -> e.kind() == kind).count();
  }

  /** Waits for the log line of a request and returns it. */
  String awaitLogLine(String id) throws Exception {
    DaemonFixture.await("log of " + id, () -> findLogLine(id) != null);
    return findLogLine(id);
  }

  private String findLogLine(String id) {
    try {
      return Files.exists(log) ? Files.readAllLines(log).stream().filter(l -> l.contains('"' + id + '"'))
          .findFirst().orElse(null) : null;
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  @Override
  public void close() throws java.io.IOException {
    daemons.close();
  }
}
