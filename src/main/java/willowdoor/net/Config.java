package willowdoor.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import willowdoor.GatewayApi.Settings;
import willowdoor.JsonFields;
import willowdoor.WireSettings;

/** What a front door is told at its start: the file that {@code GW_CONFIG} names. */
record Config(InetSocketAddress listen, InetSocketAddress discovery, InetSocketAddress counter, long seed,
    Settings settings, double connectLimitMs, double idleLimitMs, RosterNews known) {

  /** Reads the file; anything that keeps the front door from serving is an IOException in plain words. */
  static Config read(Path file) throws IOException {
    Map<String, Object> fields;
    try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(file))) {
      in.nextToken();
      fields = JsonFields.object(in);
    } catch (NoSuchFileException e) {
      throw new IOException("there is no file " + file, e);
    }
    return of(fields);
  }

  static Config of(Map<String, Object> fields) throws IOException {
    Map<String, Object> settings = JsonFields.child(fields, "settings");
    Settings parsed = WireSettings.read(settings);
    if (parsed.classes().isEmpty() || parsed.plans().isEmpty()) {
      throw new IOException("settings name no classes or no plans");
    }
    Map<String, Object> bounds = JsonFields.child(settings, "Bounds");
    InetSocketAddress counter = fields.get("counter") == null && !parsed.allowed().sharedCount() ? null
        : address(fields, "counter");
    return new Config(address(fields, "listen"), address(fields, "discovery"), counter, seed(fields), parsed,
        JsonFields.number(bounds, "DialTimeoutMs", 250), JsonFields.number(bounds, "ConnIdleMs", 15_000),
        RosterNews.of(JsonFields.child(fields, "known")));
  }

  private static long seed(Map<String, Object> fields) throws IOException {
    String seed = JsonFields.text(fields, "seed");
    try {
      return new BigInteger(seed, 16).longValue();
    } catch (NumberFormatException e) {
      throw new IOException("seed is not a hexadecimal number: '" + seed + "'", e);
    }
  }

  private static InetSocketAddress address(Map<String, Object> fields, String name) throws IOException {
    String text = JsonFields.text(fields, name);
    InetSocketAddress address = RosterNews.address(text);
    if (address == null) {
      throw new IOException(name + " is not an address and port: '" + text + "'");
    }
    return address;
  }
}
