package willowdoor.management;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;

/** A parsed management call: what is asked for, or the refusal of an invalid call with its reason. */
sealed interface Call {

  /** Asks whether this process is ready. */
  record Ready() implements Call { }

  /** A command to carry out. */
  record Execute(ManagementCommand command) implements Call { }

  /** The other process of this front door announces itself. */
  record Hello(ProcessGreeting greeting) implements Call { }

  /** Requests with these ids are about to begin at the other process of this front door. */
  record Claim(List<String> ids) implements Call { }

  /** An invalid call, with the reply that refuses it. */
  record Invalid(Reply reply) implements Call { }

  /** Maximum length of a backend's name, in characters. */
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
          : requireMethod(message, HttpMethod.POST, new Hello(new ProcessGreeting(fields.get("at").get(0),
              Boolean.parseBoolean(fields.get("serves").get(0)), first(fields.get("process")),
              first(fields.get("listen")))));
      case "/claim" -> requireMethod(message, HttpMethod.POST,
          new Claim(List.copyOf(fields.getOrDefault("id", List.of()))));
      case "/backends/disable", "/backends/enable" -> memberCall(message, path, fields.get("member"));
      default -> invalid(404, "no such call: expected /ready, /backends/disable, /backends/enable, /drain or"
          + " /undrain");
    };
  }

  private static String first(List<String> values) {
    return values == null || values.isEmpty() ? "" : values.get(0);
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
