package willowdoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** The messages that a client's connection makes: requests to backends, and answers to the client. */
final class ClientMessages {

  private static final CharSequence[] FORWARDED_HEADERS = {HttpHeaderNames.HOST, Headers.REQUEST_ID,
      Headers.REQUEST_CLASS, Headers.IDEMPOTENCY_KEY, HttpHeaderNames.CONTENT_TYPE};

  private ClientMessages() {
  }

  /** Builds the request to a backend: the request line, the body and the forwarded headers, unchanged. */
  static FullHttpRequest backendRequest(FullHttpRequest message) {
    DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, message.method(),
        message.uri(), message.content().retain());
    for (CharSequence name : FORWARDED_HEADERS) {
      copyHeader(message.headers(), request.headers(), name);
    }
    if (message.content().isReadable() || message.method().equals(HttpMethod.POST)) {
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes());
    }
    return request;
  }

  /**
   * Builds the answer to a client from a backend's whole answer.
   *
   * @param extraHeaders further headers, or null
   */
  static FullHttpResponse served(FullHttpResponse backendAnswer, HttpHeaders extraHeaders) {
    DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
        backendAnswer.content().retain());
    copyAnswerHeaders(backendAnswer, extraHeaders, answer);
    return answer;
  }

  /** Builds the head of a streamed answer, without its framing. */
  static HttpResponse servedHead(HttpResponse backendAnswer, HttpHeaders extraHeaders) {
    HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    copyAnswerHeaders(backendAnswer, extraHeaders, answer);
    return answer;
  }

  private static void copyAnswerHeaders(HttpResponse backendAnswer, HttpHeaders extraHeaders,
      HttpResponse to) {
    copyHeader(backendAnswer.headers(), to.headers(), HttpHeaderNames.CONTENT_TYPE);
    if (extraHeaders != null) {
      to.headers().add(extraHeaders);
    }
  }

  private static void copyHeader(HttpHeaders from, HttpHeaders to, CharSequence name) {
    String value = from.get(name);
    if (value != null) {
      to.set(name, value);
    }
  }

  /**
   * Builds a refusal.
   *
   * @param holdOffMs when the client is advised to come back, in milliseconds; 0 for no advice
   */
  static FullHttpResponse refusal(double holdOffMs) {
    if (holdOffMs <= 0) {
      return empty(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }
    FullHttpResponse answer = empty(HttpResponseStatus.TOO_MANY_REQUESTS);
    answer.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", holdOffMs / 1000));
    return answer;
  }

  /** Builds an answer without a body. */
  static FullHttpResponse empty(HttpResponseStatus status) {
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
  }

  /** Builds an answer that tells the reason in a line of text. */
  static FullHttpResponse text(HttpResponseStatus status, String reason) {
    ByteBuf line = Unpooled.copiedBuffer(reason + "\n", StandardCharsets.US_ASCII);
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, line);
  }
}
