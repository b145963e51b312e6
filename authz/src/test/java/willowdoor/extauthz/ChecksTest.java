package willowdoor.extauthz;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.google.protobuf.ByteString;
import io.envoyproxy.envoy.service.auth.v3.AttributeContext;
import io.envoyproxy.envoy.service.auth.v3.CheckRequest;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import willowdoor.authz.AuthzSettings.Choice;
import willowdoor.authz.AuthzSettings.WeightedAuthoriser;
import willowdoor.authz.AuthzSettings.Member;
import willowdoor.extauthz.ExtAuthzSettings.Content;
import willowdoor.net.RequestFilter.Origin;
import willowdoor.policy.GatewayApi.Request;

class ChecksTest {

  private static final Member MEMBER = new Member("acme", List.of(), Set.of(), Set.of("buy"),
      List.of(new WeightedAuthoriser(0, 1)), Choice.ORDER, 100, 0.5, false, Set.of(), 1_000, 10);

  private static CheckRequest check(String id, long firm, String path, HttpHeaders headers, byte[] body,
      int bodyBytes) {
    FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path,
        Unpooled.wrappedBuffer(body));
    return Checks.of(new Request(id, "buy", "full", firm, 1, 2, 1_000), MEMBER,
        new Content(List.of("x", "y"), bodyBytes), message, new Origin(headers, null), 1_700_000_000_123.0);
  }

  private static String subject(long firm, String path, String x, String y, String body) {
    HttpHeaders headers = new DefaultHttpHeaders();
    if (x != null) {
      headers.set("x", x);
    }
    if (y != null) {
      headers.set("y", y);
    }
    return Checks.subject(check("id" + firm + path.length() + body, firm, path, headers, body.getBytes(),
        100));
  }

  @Test
  void subjectIdentifiesCheckContent() {
    String one = subject(1, "/buy/1", "1", "2", "b");
    assertEquals(one, subject(1, "/buy/1", "1", "2", "b"));
    for (String other : List.of(subject(2, "/buy/1", "1", "2", "b"), subject(1, "/buy/2", "1", "2", "b"),
        subject(1, "/buy/1", "1", "3", "b"), subject(1, "/buy/1", "1", null, "b"),
        subject(1, "/buy/1", "1, y=2", null, "b"), subject(1, "/buy/1", "1", "2", "c"),
        subject(1, "/buy/1", "12", "", "b"))) {
      assertNotEquals(one, other);
    }
  }

  @Test
  void textBodyIsSentAsTextOthersAsBytes() {
    AttributeContext.HttpRequest text = check("a", 1, "/buy/1", new DefaultHttpHeaders(), "caf\u00e9"
        .getBytes(java.nio.charset.StandardCharsets.UTF_8), 100).getAttributes().getRequest().getHttp();
    assertEquals("caf\u00e9", text.getBody());
    assertEquals("false", text.getHeadersOrThrow(Checks.PARTIAL_BODY));
    byte[] bytes = {(byte) 0xff, 0, 1};
    AttributeContext.HttpRequest raw = check("a", 1, "/buy/1", new DefaultHttpHeaders(), bytes, 2)
        .getAttributes().getRequest().getHttp();
    assertEquals(ByteString.copyFrom(bytes, 0, 2), raw.getRawBody());
    assertEquals("true", raw.getHeadersOrThrow(Checks.PARTIAL_BODY));
    AttributeContext.HttpRequest none = check("a", 1, "/buy/1", new DefaultHttpHeaders(), bytes, 0)
        .getAttributes().getRequest().getHttp();
    assertFalse(none.containsHeaders(Checks.PARTIAL_BODY));
    assertEquals(3, none.getSize());
  }

  @Test
  void onlyListedHeadersAreSentAndRepeatsJoined() {
    HttpHeaders headers = new DefaultHttpHeaders().add("X", "1").add("x", "2").add("secret", "s")
        .add("y", "z".repeat(9_000));
    CheckRequest check = check("a", 1, "/buy/1", headers, new byte[0], 0);
    AttributeContext.HttpRequest http = check.getAttributes().getRequest().getHttp();
    assertEquals(Set.of("x", "y"), http.getHeadersMap().keySet());
    assertEquals("1,2", http.getHeadersOrThrow("x"));
    assertEquals(4_096, http.getHeadersOrThrow("y").length());
    assertEquals(1_700_000_000, check.getAttributes().getRequest().getTime().getSeconds());
  }
}
