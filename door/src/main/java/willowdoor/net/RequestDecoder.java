package willowdoor.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes clients' requests; what two readers could frame differently is malformed here. */
final class RequestDecoder extends HttpRequestDecoder {

  private static final int MOST_LINE = 8_192;
  private static final int MOST_HEADERS = 16_384;
  private static final int MOST_CHUNK = 64 * 1024;

  RequestDecoder() {
    super(new HttpDecoderConfig().setMaxInitialLineLength(MOST_LINE).setMaxHeaderSize(MOST_HEADERS)
        .setMaxChunkSize(MOST_CHUNK).setUseRfc9112TransferEncoding(true));
  }

  /** Guards against smuggling: whoever goes by the length sees another request in what is a body here. */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("Content-Length with Transfer-Encoding");
  }

  /** True when part of a further request has been read. */
  boolean holdsMore() {
    return actualReadableBytes() > 0;
  }
}
