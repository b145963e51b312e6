package willowdoor.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;

/** Decodes clients' requests. A message that two parsers could frame differently is treated as malformed. */
final class RequestDecoder extends HttpRequestDecoder {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  /** Headers of the request that is being decoded. */
  private int headers;

  RequestDecoder() {
    super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES)
        .setMaxChunkSize(MAX_CHUNK_BYTES).setUseRfc9112TransferEncoding(true));
  }

  /**
   * Guards against request smuggling: a parser that goes by Content-Length sees another request in what is
   * body here.
   */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("Content-Length with Transfer-Encoding");
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) throws Exception {
    headers = 0;
    return super.createMessage(initialLine);
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    headers++;
    return super.splitHeaderName(line, start, length);
  }

  /** Whether bytes of a further request have been received but not decoded. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  /** The memory, in bytes, that the decoder takes besides the characters of the head and the body. */
  int overheadBytes() {
    return internalBuffer().capacity() + headers * MessageSize.HEADER_OVERHEAD_BYTES;
  }
}
