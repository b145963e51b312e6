package willowdoor.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes clients' requests; what two readers could frame differently is malformed here. */
final class RequestDecoder extends HttpRequestDecoder {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  RequestDecoder() {
    super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES)
        .setMaxChunkSize(MAX_CHUNK_BYTES).setUseRfc9112TransferEncoding(true));
  }

  /** Guards against smuggling: whoever goes by the length sees another request in what is a body here. */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("Content-Length with Transfer-Encoding");
  }

  /** True when part of a further request has been read. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }
}
