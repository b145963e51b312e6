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

/**
 * Parses a client's message into a request for the module; an invalid message is refused here with the
 * reason.
 */
final class RequestReader {

  private static final int MAX_ID_LENGTH = 128;
  private static final long CUSTOMER_ID_LIMIT = 1L << 33;
  private static final int MAX_HOST_LENGTH = 255;

  /** The message is not a valid request of this protocol. */
  static final class BadRequest extends Exception {
    private static final long serialVersionUID = 1;
    private final boolean framingReliable;

    BadRequest(String reason) {
      this(reason, true);
    }

    BadRequest(String reason, boolean framingReliable) {
      super(reason, null, false, false);
      this.framingReliable = framingReliable;
    }

    /**
     * False if another parser may see different requests in the same bytes; the connection must then be
     * closed.
     */
    boolean isFramingReliable() {
      return framingReliable;
    }
  }

  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Map<String, ?> plans;
  private final int gateways;
  private final int selfIndex;
  private final double maxUnits;

  RequestReader(Settings settings) {
    settings.classes().forEach(c -> classes.put(c.name(), c));
    Map<String, Object> plansByName = new HashMap<>();
    settings.plans().forEach(p -> plansByName.put(p.name(), p));
    plans = plansByName;
    gateways = settings.gateways();
    selfIndex = settings.selfIndex();
    maxUnits = settings.maxUnits() > 0 ? settings.maxUnits() : Double.POSITIVE_INFINITY;
  }

  Request read(FullHttpRequest message, double now) throws BadRequest {
    HttpHeaders headers = message.headers();
    if (headers.contains(HttpHeaderNames.HOST)
        && requiredHeader(headers, HttpHeaderNames.HOST).length() > MAX_HOST_LENGTH) {
      throw new BadRequest("Host is too long");
    }
    String id = requiredHeader(headers, Headers.REQUEST_ID);
    if (id.length() > MAX_ID_LENGTH) {
      throw new BadRequest("Request-Id is too long");
    }
    RequestClass requestClass = classes.get(requiredHeader(headers, Headers.REQUEST_CLASS));
    if (requestClass == null || !requestClass.name().equals(firstPathSegment(message.uri()))) {
      throw new BadRequest("unknown class");
    }
    boolean safe = requestClass.repeat() == Repeat.SAFE;
    if (!message.method().equals(safe ? HttpMethod.GET : HttpMethod.POST)) {
      throw new BadRequest("method does not fit the class");
    }
    if (requestClass.repeat() == Repeat.KEYED) {
      requiredHeader(headers, Headers.IDEMPOTENCY_KEY);
    }
    String plan = requiredHeader(headers, Headers.PLAN);
    if (!plans.containsKey(plan)) {
      throw new BadRequest("unknown plan");
    }
    double timeout = parseNumber(requiredHeader(headers, Headers.TIMEOUT_MS), 10, Headers.TIMEOUT_MS);
    if (timeout <= 0 || timeout > Math.ceil(requestClass.deadlineMs())) {
      throw new BadRequest("Request-Timeout-Ms is out of range");
    }
    long customer = parseNumber(requiredHeader(headers, Headers.CUSTOMER), 16, Headers.CUSTOMER);
    if (customer >= CUSTOMER_ID_LIMIT) {
      throw new BadRequest("X-Customer is out of range");
    }
    return readQuota(requiredHeader(headers, Headers.QUOTA), id, requestClass.name(), plan, customer,
        now + timeout);
  }

  /**
   * Reads the field {@code units=2,spread=3,first=1}. A value out of range is refused, not clipped: the
   * request may carry another customer's name, and that customer's account must not change by it.
   */
  private Request readQuota(String field, String id, String className, String plan, long customer,
      double giveUpMs)
      throws BadRequest {
    long units = 0;
    long spread = 0;
    long first = -1;
    for (String part : field.split(",", -1)) {
      int equals = part.indexOf('=');
      String name = equals < 0 ? "" : part.substring(0, equals).trim();
      long value = parseNumber(part.substring(equals + 1).trim(), 10, Headers.QUOTA);
      switch (name) {
        case "units" -> units = value;
        case "spread" -> spread = value;
        case "first" -> first = value;
        default -> throw new BadRequest("X-Quota is broken");
      }
    }
    if (units <= 0 || units > maxUnits || spread <= 0 || spread > gateways || first < 0
        || first >= gateways) {
      throw new BadRequest("X-Quota is out of range");
    }
    int position = Math.floorMod(selfIndex - (int) first, gateways);
    return new Request(id, className, plan, customer, (int) spread, units, giveUpMs,
        position < spread ? position : -1,
        null);
  }

  private static String firstPathSegment(String uri) throws BadRequest {
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

  private static String requiredHeader(HttpHeaders headers, CharSequence name) throws BadRequest {
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

  private static long parseNumber(String text, int radix, CharSequence name) throws BadRequest {
    try {
      long value = text.length() > 16 ? -1 : Long.parseLong(text, radix);
      if (value >= 0 && Character.digit(text.charAt(0), radix) >= 0 && text.charAt(0) < 128) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Falls through to the common error for everything that is not a number.
    }
    throw new BadRequest(name + " is not a number");
  }
}
