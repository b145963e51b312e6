package willowdoor.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import willowdoor.policy.GatewayApi.Repeat;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.policy.GatewayApi.Settings;

/** Reads a client's message as a request for the module; what is not one is refused here with its reason. */
final class RequestReader {

  private static final int MOST_ID = 128;
  private static final long CUSTOMERS = 1L << 33;
  private static final int MOST_HOST = 255;

  /** A message that is no request of this protocol. */
  static final class BadRequest extends Exception {
    private static final long serialVersionUID = 1;
    private final boolean framed;

    BadRequest(String reason) {
      this(reason, true);
    }

    BadRequest(String reason, boolean framed) {
      super(reason, null, false, false);
      this.framed = framed;
    }

    /** False when another reader may see other requests in the same bytes: the connection has to end. */
    boolean framed() {
      return framed;
    }
  }

  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Map<String, ?> plans;
  private final int gateways;
  private final int self;
  private final double mostUnits;

  RequestReader(Settings settings) {
    settings.classes().forEach(c -> classes.put(c.name(), c));
    Map<String, Object> named = new HashMap<>();
    settings.plans().forEach(p -> named.put(p.name(), p));
    plans = named;
    gateways = settings.gateways();
    self = settings.self();
    mostUnits = settings.maxUnits() > 0 ? settings.maxUnits() : Double.POSITIVE_INFINITY;
  }

  Request read(FullHttpRequest message, double now) throws BadRequest {
    HttpHeaders headers = message.headers();
    if (headers.contains(HttpHeaderNames.HOST) && text(headers, HttpHeaderNames.HOST).length() > MOST_HOST) {
      throw new BadRequest("Host is too long");
    }
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
    if (timeout <= 0 || timeout > Math.ceil(type.deadlineMs())) {
      throw new BadRequest("Request-Timeout-Ms is out of range");
    }
    long customer = number(text(headers, Headers.CUSTOMER), 16, Headers.CUSTOMER);
    if (customer >= CUSTOMERS) {
      throw new BadRequest("X-Customer is out of range");
    }
    return quota(text(headers, Headers.QUOTA), id, type.name(), plan, customer, now + timeout);
  }

  /**
   * The field {@code units=2,spread=3,first=1}. What is out of range is refused, not clipped: the request may
   * bear another customer's name, and that customer's account must not move by it.
   */
  private Request quota(String field, String id, String type, String plan, long customer, double giveUpMs)
      throws BadRequest {
    long units = 0;
    long spread = 0;
    long first = -1;
    for (String part : field.split(",", -1)) {
      int equals = part.indexOf('=');
      String name = equals < 0 ? "" : part.substring(0, equals).trim();
      long value = number(part.substring(equals + 1).trim(), 10, Headers.QUOTA);
      switch (name) {
        case "units" -> units = value;
        case "spread" -> spread = value;
        case "first" -> first = value;
        default -> throw new BadRequest("X-Quota is broken");
      }
    }
    if (units <= 0 || units > mostUnits || spread <= 0 || spread > gateways || first < 0
        || first >= gateways) {
      throw new BadRequest("X-Quota is out of range");
    }
    int place = Math.floorMod(self - (int) first, gateways);
    return new Request(id, type, plan, customer, (int) spread, units, giveUpMs, place < spread ? place : -1,
        null);
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
    Iterator<String> values = headers.valueStringIterator(name);
    String value = values.hasNext() ? values.next() : "";
    if (value.isEmpty()) {
      throw new BadRequest(name + " is missing");
    }
    if (values.hasNext()) {
      throw new BadRequest(name + " is repeated", false);
    }
    return value;
  }

  private static long number(String text, int radix, CharSequence name) throws BadRequest {
    try {
      long value = text.length() > 16 ? -1 : Long.parseLong(text, radix);
      if (value >= 0 && Character.digit(text.charAt(0), radix) >= 0 && text.charAt(0) < 128) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Falls through to the one message for all that is no number.
    }
    throw new BadRequest(name + " is not a number");
  }
}
