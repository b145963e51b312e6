package willowdoor.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.wire.JsonFields;

/** One message of discovery: the entries for the module, and where each backend listens, seen from here. */
public record EndpointUpdate(long version, boolean full, List<BackendEntry> entries,
    Map<Long, InetSocketAddress> addresses) {

  private static final JsonFactory JSON = new JsonFactory();
  private static final int MAX_BACKENDS = 10_000;

  static EndpointUpdate parse(byte[] line) throws IOException {
    try (JsonParser in = JSON.createParser(line)) {
      in.nextToken();
      Map<String, Object> message = JsonFields.object(in);
      // Guards against a full list that names nothing because it is junk: the last list would be gone.
      if (!(message.get("servers") instanceof List)) {
        throw new IOException("a message without a list");
      }
      return of(message);
    }
  }

  static EndpointUpdate of(Map<String, Object> message) throws IOException {
    List<Map<String, Object>> servers = JsonFields.children(message, "servers");
    if (servers.size() > MAX_BACKENDS) {
      throw new IOException("a list of " + servers.size() + " backends");
    }
    List<BackendEntry> entries = new ArrayList<>();
    Map<Long, InetSocketAddress> addresses = new HashMap<>();
    for (Map<String, Object> server : servers) {
      String name = JsonFields.text(server, "id");
      long id = idOf(name);
      Phase phase = switch (JsonFields.text(server, "state")) {
        case "active" -> Phase.SERVING;
        case "left" -> Phase.REMOVED;
        default -> Phase.DRAINING;
      };
      InetSocketAddress address = parseAddress(JsonFields.text(server, "addr"));
      if (name.isEmpty() || address == null && phase == Phase.SERVING) {
        // One entry that cannot be used must not keep the others from being told, drains above all.
        continue;
      }
      if (address != null) {
        addresses.put(id, address);
      }
      entries.add(
          new BackendEntry(id, JsonFields.text(server, "zone"), (int) JsonFields.number(server, "cell"),
          phase,
          JsonFields.number(server, "weight", 1), JsonFields.number(server, "started_ms")));
    }
    return new EndpointUpdate((long) JsonFields.number(message, "version"),
        Boolean.TRUE.equals(message.get("full")), entries, addresses);
  }

  /** A backend's name as the number that the module knows it by: FNV-1a, alike at every front door. */
  public static long idOf(String name) {
    long hash = 0xcbf29ce484222325L;
    for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ b & 0xff) * 0x100000001b3L;
    }
    return hash >>> 1;
  }

  /** A numeric address and port, or null; names are not looked up, as there is no DNS. */
  public static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    try {
      int port = ip == null ? -1 : Integer.parseInt(text.substring(colon + 1));
      return port < 0 || port > 65_535 ? null : new InetSocketAddress(InetAddress.getByAddress(ip), port);
    } catch (NumberFormatException | UnknownHostException e) {
      return null;
    }
  }
}
