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
import willowdoor.management.ManagementServer;
import willowdoor.policy.GatewayApi.Settings;
import willowdoor.wire.JsonFields;
import willowdoor.wire.WireSettings;

/**
 * Configuration of a front door: on the platform, the file that {@code GW_CONFIG} names.
 *
 * @param watchCounter whether the counter may be replaced by another one: it is asked for its identity a few
 *     times a second, and ceilings are divided among the doors; false on the platform
 * @param management the management address for operators, or null for none
 */
public record Config(InetSocketAddress listen, InetSocketAddress discovery, InetSocketAddress counter,
    long seed, Settings settings, ResourceLimits limits, double connectTimeoutMs, double idleTimeoutMs,
    EndpointUpdate rememberedBackends, boolean watchCounter, InetSocketAddress management) {

  /** The addresses that a reloaded configuration may change. */
  record Peers(InetSocketAddress discovery, InetSocketAddress counter) { }

  /**
   * Reads the file. Whatever keeps the front door from serving is reported as an IOException with a plain
   * message.
   */
  static Config read(Path file) throws IOException {
    Map<String, Object> fields = fields(file);
    String management = System.getenv("GW_MANAGEMENT");
    if (management != null && !management.isEmpty()) {
      fields.putIfAbsent("management", management);
    }
    return of(fields);
  }

  /** Reads only the settings that may change while the front door serves. */
  static Peers readPeers(Path file) throws IOException {
    Map<String, Object> fields = fields(file);
    return new Peers(address(fields, "discovery"),
        fields.get("counter") == null ? null : address(fields, "counter"));
  }

  private static Map<String, Object> fields(Path file) throws IOException {
    try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(file))) {
      in.nextToken();
      return JsonFields.object(in);
    } catch (NoSuchFileException e) {
      throw new IOException("there is no file " + file, e);
    }
  }

  static Config of(Map<String, Object> fields) throws IOException {
    Map<String, Object> settings = JsonFields.child(fields, "settings");
    Settings gatewaySettings = WireSettings.read(settings);
    if (gatewaySettings.classes().isEmpty() || gatewaySettings.plans().isEmpty()) {
      throw new IOException("settings name no classes or no plans");
    }
    Map<String, Object> bounds = JsonFields.child(settings, "Bounds");
    Map<String, Object> limits = JsonFields.child(fields, "limits");
    double managementSockets = fields.get("management") == null ? 0 : ManagementServer.MAX_CONNECTIONS + 1;
    ResourceLimits resourceLimits = ResourceLimits.of(
        JsonFields.number(limits, "sockets", ResourceLimits.DEFAULT_SOCKETS) - managementSockets,
        JsonFields.number(limits, "memory_mb", ResourceLimits.DEFAULT_MEMORY_MB));
    InetSocketAddress counter = fields.get("counter") == null
        && !gatewaySettings.capabilities().sharedCounter()
        ? null
        : address(fields, "counter");
    InetSocketAddress management = fields.get("management") == null ? null : address(fields, "management");
    return new Config(address(fields, "listen"), address(fields, "discovery"), counter, seed(fields),
        gatewaySettings,
        resourceLimits, JsonFields.number(bounds, "DialTimeoutMs", 250),
        JsonFields.number(bounds, "ConnIdleMs", 15_000), EndpointUpdate.of(JsonFields.child(fields, "known")),
            false, management);
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
    InetSocketAddress address = EndpointUpdate.parseAddress(text);
    if (address == null) {
      throw new IOException(name + " is not an address and port: '" + text + "'");
    }
    return address;
  }
}
