package willowdoor.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/** Decodes backends' responses and shows whether input is left that does not belong to them. */
final class ResponseDecoder extends HttpResponseDecoder {

  private static final int MAX_STATUS_LINE_BYTES = 1_024;
  private static final int MAX_HEADER_BYTES = 8_192;
  /** Headers of one response, with its trailers. Short ones take tens of times their bytes as objects. */
  private static final int MAX_HEADERS = 100;

  private int headers;

  ResponseDecoder() {
    super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
        .setMaxHeaderSize(MAX_HEADER_BYTES)
        .setUseRfc9112TransferEncoding(true));
  }

  /** Rejects the message: the two lengths may contradict each other, so the end of the body is ambiguous. */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("Content-Length with Transfer-Encoding");
  }

  /** Always false: no upgrade was requested, so what follows an unexpected 101 response is still HTTP/1.1. */
  @Override
  protected boolean isSwitchingToNonHttp1Protocol(HttpResponse answer) {
    return false;
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    headers = 0;
    return super.createMessage(initialLine);
  }

  /**
   * Rejects a line without a colon, and more lines than are accepted. Netty also ends a response's header
   * name at a blank, and would accept it.
   */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (start + length >= line.length || line[start + length] != ':') {
      throw new IllegalArgumentException("header without a colon");
    }
    if (++headers > MAX_HEADERS) {
      throw new IllegalArgumentException("too many headers");
    }
    return super.splitHeaderName(line, start, length);
  }

  boolean hasUnconsumedBytes() {
    return actualReadableBytes() > 0;
  }
}
