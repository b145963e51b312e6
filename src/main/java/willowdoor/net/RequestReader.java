package willowdoor.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.HashMap;
import java.util.Map;
import willowdoor.GatewayApi.Repeat;
import willowdoor.GatewayApi.Request;
import willowdoor.GatewayApi.RequestClass;
import willowdoor.GatewayApi.Settings;

/** Reads a client's message as a request for the module; what is not one is refused here with its reason. */
final class RequestReader {

  private static final int MOST_ID = 128;

  /** A message that is no request of this protocol. */
  static final class BadRequest extends Exception {
    private static final long serialVersionUID = 1;

    BadRequest(String reason) {
      super(reason, null, false, false);
    }
  }

  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Map<String, ?> plans;
  private final int gateways;

  RequestReader(Settings settings) {
    settings.classes().forEach(c -> classes.put(c.name(), c));
    Map<String, Object> named = new HashMap<>();
    settings.plans().forEach(p -> named.put(p.name(), p));
    plans = named;
    gateways = settings.gateways();
  }

  Request read(FullHttpRequest message, double now) throws BadRequest {
    HttpHeaders headers = message.headers();
    String id = text(headers, Headers.REQUEST_ID);
    if (id.length() > MOST_ID) {
      throw new BadRequest("Request-Id is too long");
    }
    RequestClass type = classes.get(text(headers, Headers.REQUEST_CLASS));
    if (type == null || !type.name().equals(firstPart(message.uri()))) {
      throw new BadRequest("unknown class");
    }
    boolean safe = type.repeat() == Repeat.SAFE;
    if (!message.method().equals(safe ? HttpMethod.GET : HttpMethod.POST)) {
      throw new BadRequest("method does not fit the class");
    }
    if (type.repeat() == Repeat.KEYED) {
      text(headers, Headers.IDEMPOTENCY_KEY);
    }
    String plan = text(headers, Headers.PLAN);
    if (!plans.containsKey(plan)) {
      throw new BadRequest("unknown plan");
    }
    double timeout = number(text(headers, Headers.TIMEOUT_MS), 10, Headers.TIMEOUT_MS);
    if (timeout <= 0) {
      throw new BadRequest("Request-Timeout-Ms is not positive");
    }
    long customer = number(text(headers, Headers.CUSTOMER), 16, Headers.CUSTOMER);
    return quota(text(headers, Headers.QUOTA), id, type.name(), plan, customer, now + timeout);
  }

  /** The field {@code units=2,spread=3,first=1}. */
  private Request quota(String field, String id, String type, String plan, long customer, double giveUpMs)
      throws BadRequest {
    long units = 0;
    long spread = gateways;
    for (String part : field.split(",")) {
      int equals = part.indexOf('=');
      String name = equals < 0 ? "" : part.substring(0, equals).trim();
      String value = part.substring(equals + 1).trim();
      switch (name) {
        case "units" -> units = number(value, 10, Headers.QUOTA);
        case "spread" -> spread = number(value, 10, Headers.QUOTA);
        default -> { }
      }
    }
    if (units <= 0 || spread <= 0) {
      throw new BadRequest("X-Quota is broken");
    }
    return new Request(id, type, plan, customer, (int) Math.min(spread, gateways), units, giveUpMs);
  }

  private static String firstPart(String uri) throws BadRequest {
    for (int i = 0; i < uri.length(); i++) {
      if (uri.charAt(i) <= ' ' || uri.charAt(i) > '~') {
        throw new BadRequest("path is not plain ASCII");
      }
    }
    int end = 1;
    while (end < uri.length() && "/?#".indexOf(uri.charAt(end)) < 0) {
      end++;
    }
    return uri.startsWith("/") ? uri.substring(1, end) : "";
  }

  private static String text(HttpHeaders headers, CharSequence name) throws BadRequest {
    String value = headers.get(name);
    if (value == null || value.isEmpty()) {
      throw new BadRequest(name + " is missing");
    }
    return value;
  }

  private static long number(String text, int radix, CharSequence name) throws BadRequest {
    try {
      long value = text.length() > 16 ? -1 : Long.parseLong(text, radix);
      if (value >= 0 && text.charAt(0) != '+') {
        return value;
      }
    } catch (NumberFormatException e) {
      // Falls through to the one message for all that is no number.
    }
    throw new BadRequest(name + " is not a number");
  }
}
