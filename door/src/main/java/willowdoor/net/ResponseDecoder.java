package willowdoor.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/** Decodes backends' answers, and tells whether more has come than belongs to them. */
final class ResponseDecoder extends HttpResponseDecoder {

  private static final int MAX_STATUS_LINE_BYTES = 1_024;
  private static final int MAX_HEADER_BYTES = 8_192;

  ResponseDecoder() {
    super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
        .setMaxHeaderSize(MAX_HEADER_BYTES)
        .setUseRfc9112TransferEncoding(true));
  }

  /** Two lengths that need not agree: where the body ends is anyone's guess. */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("Content-Length with Transfer-Encoding");
  }

  /** No switch was asked for: after a stray 101 the answer is still one of HTTP/1.1. */
  @Override
  protected boolean isSwitchingToNonHttp1Protocol(HttpResponse answer) {
    return false;
  }

  /** Netty ends an answer's header name at a blank too, and so takes a line with no colon for a header. */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (start + length >= line.length || line[start + length] != ':') {
      throw new IllegalArgumentException("header without a colon");
    }
    return super.splitHeaderName(line, start, length);
  }

  boolean hasUnconsumedBytes() {
    return actualReadableBytes() > 0;
  }
}
