package willowdoor.daemon.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import willowdoor.authz.AuthzSettings;
import willowdoor.authz.AuthzSettings.Authoriser;
import willowdoor.authz.AuthzSettings.Choice;
import willowdoor.authz.AuthzSettings.WeightedAuthoriser;
import willowdoor.authz.AuthzSettings.FirmRange;
import willowdoor.authz.AuthzSettings.Health;
import willowdoor.authz.AuthzSettings.Member;
import willowdoor.extauthz.ExtAuthzSettings;
import willowdoor.extauthz.ExtAuthzSettings.AnswerBounds;
import willowdoor.extauthz.ExtAuthzSettings.Content;
import willowdoor.extauthz.ExtAuthzSettings.Link;
import willowdoor.extauthz.ExtAuthzSettings.Log;
import willowdoor.extauthz.ExtAuthzSettings.Tls;
import willowdoor.policy.GatewayApi.Plan;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.policy.GatewayApi.Settings;

/** Reads the settings of external authorisation: [authorisation], [[authoriser]] and [[member]]. */
final class AuthorisationReader {

  private static final int MAX_TABLES = 256;
  private static final double MAX_DURATION_MS = 600_000;
  private static final String FIRMS_FORMAT =
      "a customer's hexadecimal number or two with a dash, such as \"10-1f\"";

  private final Section root;
  private final Settings settings;

  AuthorisationReader(Section root, Settings settings) {
    this.root = root;
    this.settings = settings;
  }

  /** Reads the tables; returns null if no usable member is configured. */
  ExtAuthzSettings read() {
    Section a = root.table("authorisation");
    String log = a.text("log", "");
    int records = a.wholeNumber("log_records", 8_192, 1, 1_000_000);
    AnswerBounds bounds = new AnswerBounds(a.wholeNumber("answer_bytes", 65_536, 1_024, 4 << 20),
        a.wholeNumber("answer_headers", 32, 0, 256), a.wholeNumber("answer_header_bytes", 8_192, 0, 65_536),
        a.wholeNumber("denied_body_bytes", 4_096, 0, 65_536));
    double eject = a.number("eject_ms", 1_000, 1, MAX_DURATION_MS);
    double maxEject = a.number("most_eject_ms", Math.max(30_000, eject), 1, MAX_DURATION_MS);
    if (maxEject < eject) {
      a.addProblem("most_eject_ms", maxEject, "at least eject_ms, " + eject);
    }
    Health health = new Health(a.wholeNumber("eject_after", 5, 1, 1_000),
        a.number("eject_share", 0.5, 0.01, 1),
        eject, Math.max(eject, maxEject), a.number("eject_spread", 0.2, 0, 1));
    a.reportUnknownKeys();
    List<Authoriser> authorisers = new ArrayList<>();
    List<Link> links = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (Section s : root.tables("authoriser", 0, MAX_TABLES)) {
      authorisers.add(new Authoriser(DaemonConfig.Reader.uniqueText(s, "name", names),
          s.wholeNumber("most_calls", 100, 1, 100_000),
          1_024L * s.wholeNumber("most_held_kb", 2_048, 1, 1 << 20)));
      links.add(link(s, authorisers.get(authorisers.size() - 1).name()));
      s.reportUnknownKeys();
    }
    List<Member> members = new ArrayList<>();
    List<Content> contents = new ArrayList<>();
    Set<String> memberNames = new HashSet<>();
    for (Section s : root.tables("member", 0, MAX_TABLES)) {
      Member m = member(s, authorisers, memberNames);
      contents.add(content(s));
      s.reportUnknownKeys();
      if (m != null) {
        members.add(m);
      }
    }
    if (members.isEmpty()) {
      return null;
    }
    return new ExtAuthzSettings(new AuthzSettings(List.copyOf(authorisers), List.copyOf(members), health),
        List.copyOf(links), List.copyOf(contents), bounds, log.isEmpty() ? null : new Log(Path.of(log),
            records),
        settings.capabilities().mayAdviseRetry() ? settings.capabilities().maxRetryAfterMs() : 0);
  }

  private static Link link(Section s, String name) {
    InetSocketAddress address = s.address("address");
    String ca = s.text("ca_file", "");
    String certificate = s.text("cert_file", "");
    String key = s.text("key_file", "");
    String serverName = s.text("server_name", "");
    boolean plaintext = s.flag("plaintext", false);
    double look = s.number("files_look_ms", 5_000, 10, MAX_DURATION_MS);
    if (certificate.isEmpty() != key.isEmpty()) {
      s.addProblem(key.isEmpty() ? "key_file" : "cert_file", null,
          "a file, as the other of the two is given");
    }
    if (ca.isEmpty()) {
      if (!certificate.isEmpty()) {
        s.addProblem("ca_file", null, "a file, as cert_file is given");
      }
      if (address != null && !plaintext && !address.getAddress().isLoopbackAddress()) {
        s.addProblem("ca_file", null, "a file, as " + address.getAddress().getHostAddress()
            + " is not loopback; or plaintext = true");
      }
    } else if (plaintext) {
      s.addProblem("plaintext", true, "false, as ca_file is given");
    }
    Tls tls = ca.isEmpty() ? null : new Tls(Path.of(ca), certificate.isEmpty() ? null : Path.of(certificate),
        key.isEmpty() ? null : Path.of(key), serverName.isEmpty() && address != null
        ? address.getAddress().getHostAddress() : serverName, look);
    return new Link(name, address, tls, s.number("keepalive_ms", 20_000, 10_000, MAX_DURATION_MS),
        s.number("keepalive_answer_ms", 2_000, 10, MAX_DURATION_MS));
  }

  private Member member(Section s, List<Authoriser> authorisers, Set<String> names) {
    String name = DaemonConfig.Reader.uniqueText(s, "name", names);
    List<FirmRange> firms = new ArrayList<>();
    for (String text : s.texts("firms", List.of())) {
      FirmRange f = firms(text);
      if (f == null) {
        s.addProblem("firms", '"' + text + '"', FIRMS_FORMAT);
      } else {
        firms.add(f);
      }
    }
    Set<String> classNames = new LinkedHashSet<>();
    settings.classes().stream().map(RequestClass::name).forEach(classNames::add);
    Set<String> planNames = new LinkedHashSet<>();
    settings.plans().stream().map(Plan::name).forEach(planNames::add);
    Set<String> classes = knownNames(s, "classes", List.of("register-buy"), classNames);
    Set<String> plans = knownNames(s, "plans", List.of(), planNames);
    Set<String> failOpen = knownNames(s, "fail_open", List.of(), classes);
    List<String> asked = s.texts("authorisers", null);
    List<Double> weights = s.positiveNumbers("weights");
    Choice choice = s.choice("choose", Choice.class, Choice.ORDER);
    if (!weights.isEmpty() && weights.size() != asked.size()) {
      s.addProblem("weights", weights.size() + " weights", "one for each of the " + asked.size()
          + " authorisers, or none");
    }
    List<WeightedAuthoriser> choosable = new ArrayList<>();
    List<String> known = authorisers.stream().map(Authoriser::name).toList();
    for (int i = 0; i < asked.size(); i++) {
      int at = known.indexOf(asked.get(i));
      if (at < 0) {
        s.addProblem("authorisers", '"' + asked.get(i) + '"',
            "the name of an [[authoriser]], one of " + known);
      } else {
        choosable.add(new WeightedAuthoriser(at, i < weights.size() ? weights.get(i) : 1));
      }
    }
    double limit = s.number("limit_ms", 300, 5, MAX_DURATION_MS);
    double share = s.number("backends_share", 0.5, 0, 0.99);
    boolean repeatable = s.flag("idempotent", false);
    double cacheMs = s.number("most_cached_ms", 0, 0, MAX_DURATION_MS);
    int cached = s.wholeNumber("most_cached", 1_000, 1, 1_000_000);
    return choosable.isEmpty() ? null : new Member(name, List.copyOf(firms), plans, classes,
        List.copyOf(choosable), choice, limit, share, repeatable, failOpen, cacheMs, cached);
  }

  private static Set<String> knownNames(Section s, String key, List<String> defaultNames,
      Set<String> allowed) {
    List<String> names = s.texts(key, defaultNames);
    for (String n : names) {
      if (!allowed.contains(n)) {
        s.addProblem(key, '"' + n + '"', "one of " + allowed);
      }
    }
    return Set.copyOf(names);
  }

  private static Content content(Section s) {
    List<String> headers = s.texts("headers", List.of("content-type")).stream()
        .map(h -> h.toLowerCase(Locale.ROOT)).toList();
    return new Content(headers, s.wholeNumber("body_bytes", 0, 0, 65_536));
  }

  private static FirmRange firms(String text) {
    String[] ends = text.split("-", -1);
    try {
      if (ends.length <= 2) {
        long first = Long.parseLong(ends[0], 16);
        long last = Long.parseLong(ends[ends.length - 1], 16);
        return first >= 0 && last >= first ? new FirmRange(first, last) : null;
      }
    } catch (NumberFormatException e) {
      // Falls through: the caller reports what was expected.
    }
    return null;
  }
}
