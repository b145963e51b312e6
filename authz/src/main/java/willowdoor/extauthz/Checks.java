package willowdoor.extauthz;

import com.google.protobuf.ByteString;
import com.google.protobuf.Timestamp;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.service.auth.v3.AttributeContext;
import io.envoyproxy.envoy.service.auth.v3.CheckRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import willowdoor.authz.AuthzSettings.Member;
import willowdoor.extauthz.ExtAuthzSettings.Content;
import willowdoor.net.RequestFilter.Origin;
import willowdoor.policy.GatewayApi.Request;

/** Creates check requests: a request's attributes, as far as its member's {@link Content} includes them. */
final class Checks {

  /** Envoy's header that tells whether the body is truncated. */
  static final String PARTIAL_BODY = "x-envoy-auth-partial-body";
  private static final int MAX_HEADER_CHARS = 4_096;

  private Checks() {
  }

  static CheckRequest of(Request request, Member member, Content content, FullHttpRequest message,
      Origin origin, double nowMs) {
    AttributeContext.HttpRequest.Builder http = AttributeContext.HttpRequest.newBuilder().setId(request.id())
        .setMethod(message.method().name()).setPath(message.uri()).setScheme("http")
        .setProtocol("HTTP/1.1").setSize(message.content().readableBytes());
    String host = message.headers().get("host");
    if (host != null) {
      http.setHost(host);
    }
    putHeaders(http, content, origin.headers());
    putBody(http, content, message);
    AttributeContext.Builder attributes = AttributeContext.newBuilder()
        .setRequest(AttributeContext.Request.newBuilder().setTime(time(nowMs)).setHttp(http))
        .putContextExtensions("class", request.className()).putContextExtensions("plan", request.planName())
        .putContextExtensions("firm", firm(request))
        .putContextExtensions("units", Double.toString(request.units()))
        .putContextExtensions("member", member.name());
    if (origin.remoteAddress() instanceof InetSocketAddress source) {
      attributes.setSource(AttributeContext.Peer.newBuilder().setAddress(Address.newBuilder()
          .setSocketAddress(
          SocketAddress.newBuilder().setAddress(source.getAddress().getHostAddress())
              .setPortValue(source.getPort()))));
    }
    return CheckRequest.newBuilder().setAttributes(attributes).build();
  }

  /** Formats a customer's number as in the customer header. */
  static String firm(Request request) {
    return HexFormat.of().toHexDigits(request.customer());
  }

  private static Timestamp time(double ms) {
    long seconds = (long) Math.floor(ms / 1_000);
    return Timestamp.newBuilder().setSeconds(seconds).setNanos((int) ((ms - seconds * 1_000.0) * 1e6))
        .build();
  }

  private static void putHeaders(AttributeContext.HttpRequest.Builder http, Content content,
      HttpHeaders headers) {
    for (String name : content.headers()) {
      if (headers.contains(name)) {
        String value = String.join(",", headers.getAll(name));
        http.putHeaders(name, value.length() > MAX_HEADER_CHARS
            ? value.substring(0, MAX_HEADER_CHARS) : value);
      }
    }
  }

  /**
   * Adds the body: as text if it is valid UTF-8, as the protocol requires for that field, otherwise as bytes.
   */
  private static void putBody(AttributeContext.HttpRequest.Builder http, Content content,
      FullHttpRequest message) {
    if (content.bodyBytes() == 0) {
      return;
    }
    int all = message.content().readableBytes();
    byte[] part = new byte[Math.min(all, content.bodyBytes())];
    message.content().getBytes(message.content().readerIndex(), part);
    ByteString body = ByteString.copyFrom(part);
    if (body.isValidUtf8()) {
      http.setBodyBytes(body);
    } else {
      http.setRawBody(body);
    }
    http.putHeaders(PARTIAL_BODY, Boolean.toString(part.length < all));
  }

  /** Returns a digest of the check without the request's id, time and source address. */
  static String subject(CheckRequest check) {
    CheckRequest.Builder same = check.toBuilder();
    same.getAttributesBuilder().clearSource().getRequestBuilder().clearTime().getHttpBuilder().clearId();
    AttributeContext a = same.build().getAttributes();
    AttributeContext.HttpRequest http = a.getRequest().getHttp();
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      add(digest, a.getContextExtensionsMap());
      add(digest, http.getHeadersMap());
      for (String part : List.of(http.getMethod(), http.getHost(), http.getPath(), "" + http.getSize())) {
        add(digest, ByteString.copyFromUtf8(part));
      }
      add(digest, http.getBodyBytes());
      add(digest, http.getRawBody());
      return HexFormat.of().formatHex(digest.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Adds a map with its entries sorted, because maps have no order on the wire. */
  private static void add(MessageDigest digest, Map<String, String> map) {
    add(digest, ByteString.copyFromUtf8("" + map.size()));
    new TreeMap<>(map).forEach((name, value) -> {
      add(digest, ByteString.copyFromUtf8(name));
      add(digest, ByteString.copyFromUtf8(value));
    });
  }

  /** Adds a part prefixed with its length, so that different lists of parts never yield the same bytes. */
  private static void add(MessageDigest digest, ByteString part) {
    digest.update((part.size() + ":").getBytes(StandardCharsets.US_ASCII));
    digest.update(part.asReadOnlyByteBuffer());
  }
}
