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
  record Execute(ManagementCommand command) implements Call { }

  /**
   * The other process of this front door tells of itself.
   *
   * @param address where it is managed
   * @param serves whether it takes clients
   */
  record Hello(String address, boolean serves) implements Call { }

  /** None of the calls there are. */
  record Invalid(Reply reply) implements Call { }

  /** The longest name of a backend that is looked at. */
  int MAX_MEMBER_LENGTH = 256;

  static Call read(FullHttpRequest message) {
    if (message.decoderResult().isFailure()) {
      return invalid(400, "not a request of HTTP/1.1");
    }
    if (!message.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      return invalid(400, "HTTP/1.1 is expected, not " + message.protocolVersion().text());
    }
    if (message.content().isReadable()) {
      return invalid(400, "no body is expected");
    }
    String path;
    Map<String, List<String>> fields;
    try {
      QueryStringDecoder target = new QueryStringDecoder(message.uri());
      path = target.path();
      fields = target.parameters();
    } catch (IllegalArgumentException e) {
      return invalid(400, "the target's percent-encoding is broken");
    }
    return switch (path) {
      case "/ready" -> requireMethod(message, HttpMethod.GET, new Ready());
      case "/drain" -> requireMethod(message, HttpMethod.POST, new Execute(new ManagementCommand.Drain()));
      case "/undrain" ->
          requireMethod(message, HttpMethod.POST, new Execute(new ManagementCommand.Undrain()));
      case "/twin" -> fields.getOrDefault("at", List.of()).size() != 1
          || fields.getOrDefault("serves", List.of()).size() != 1
          ? invalid(400, "expected one at and one serves")
          : requireMethod(message, HttpMethod.POST, new Hello(fields.get("at").get(0),
              Boolean.parseBoolean(fields.get("serves").get(0))));
      case "/backends/disable", "/backends/enable" -> memberCall(message, path, fields.get("member"));
      default -> invalid(404, "no such call: expected /ready, /backends/disable, /backends/enable, /drain or"
          + " /undrain");
    };
  }

  private static Call memberCall(FullHttpRequest message, String path, List<String> values) {
    if (!message.method().equals(HttpMethod.POST)) {
      return invalid(405, "POST is expected");
    }
    if (values == null || values.size() != 1 || values.get(0).isEmpty()) {
      return invalid(400, "expected one member=ID, found " + (values == null ? "none" : values.size() > 1
          ? values.size() + " of them" : "an empty one"));
    }
    String member = values.get(0);
    if (member.length() > MAX_MEMBER_LENGTH) {
      return invalid(400, "the member's id is longer than " + MAX_MEMBER_LENGTH + " characters");
    }
    return new Execute(path.endsWith("disable") ? new ManagementCommand.Disable(member)
        : new ManagementCommand.Enable(member));
  }

  private static Call requireMethod(FullHttpRequest message, HttpMethod method, Call call) {
    return message.method().equals(method) ? call : invalid(405, method + " is expected");
  }

  private static Call invalid(int status, String text) {
    return new Invalid(new Reply(status, text));
  }
}
