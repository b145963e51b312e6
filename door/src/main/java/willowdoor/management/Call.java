package willowdoor.management;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;

/** Reads a management call: what is asked, or the refusal of what is no call, in plain words. */
sealed interface Call {

  /** Whether this process is ready. */
  record Ready() implements Call { }

  /** An order to carry out. */
  record Ordered(Order order) implements Call { }

  /**
   * The other process of this front door tells of itself.
   *
   * @param at where it is managed
   * @param serves whether it takes clients
   */
  record Hello(String at, boolean serves) implements Call { }

  /** None of the calls there are. */
  record Bad(Reply reply) implements Call { }

  /** The longest name of a backend that is looked at. */
  int MOST_MEMBER = 256;

  static Call read(FullHttpRequest message) {
    if (message.decoderResult().isFailure()) {
      return bad(400, "not a request of HTTP/1.1");
    }
    if (!message.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      return bad(400, "HTTP/1.1 is expected, not " + message.protocolVersion().text());
    }
    if (message.content().isReadable()) {
      return bad(400, "no body is expected");
    }
    String path;
    Map<String, List<String>> fields;
    try {
      QueryStringDecoder target = new QueryStringDecoder(message.uri());
      path = target.path();
      fields = target.parameters();
    } catch (IllegalArgumentException e) {
      return bad(400, "the target's percent-encoding is broken");
    }
    return switch (path) {
      case "/ready" -> with(message, HttpMethod.GET, new Ready());
      case "/drain" -> with(message, HttpMethod.POST, new Ordered(new Order.Drain()));
      case "/undrain" -> with(message, HttpMethod.POST, new Ordered(new Order.Undrain()));
      case "/twin" -> fields.getOrDefault("at", List.of()).size() != 1
          || fields.getOrDefault("serves", List.of()).size() != 1 ? bad(400, "expected one at and one serves")
          : with(message, HttpMethod.POST, new Hello(fields.get("at").get(0),
              Boolean.parseBoolean(fields.get("serves").get(0))));
      case "/backends/disable", "/backends/enable" -> member(message, path, fields.get("member"));
      default -> bad(404, "no such call: expected /ready, /backends/disable, /backends/enable, /drain or"
          + " /undrain");
    };
  }

  private static Call member(FullHttpRequest message, String path, List<String> named) {
    if (!message.method().equals(HttpMethod.POST)) {
      return bad(405, "POST is expected");
    }
    if (named == null || named.size() != 1 || named.get(0).isEmpty()) {
      return bad(400, "expected one member=ID, found " + (named == null ? "none" : named.size() > 1
          ? named.size() + " of them" : "an empty one"));
    }
    String member = named.get(0);
    if (member.length() > MOST_MEMBER) {
      return bad(400, "the member's id is longer than " + MOST_MEMBER + " characters");
    }
    return new Ordered(path.endsWith("disable") ? new Order.Disable(member) : new Order.Enable(member));
  }

  private static Call with(FullHttpRequest message, HttpMethod method, Call call) {
    return message.method().equals(method) ? call : bad(405, method + " is expected");
  }

  private static Call bad(int status, String text) {
    return new Bad(new Reply(status, text));
  }
}
