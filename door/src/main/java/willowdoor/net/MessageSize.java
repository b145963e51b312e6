package willowdoor.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Iterator;
import java.util.Map;

/**
 * Estimates the memory that a message takes. A head takes several times its bytes, as it is held as objects.
 */
final class MessageSize {

  /** The entry, the name and the value of one header, besides their characters. */
  static final int HEADER_OVERHEAD_BYTES = 160;
  /** A request's state here and in the decision module. */
  private static final int REQUEST_OVERHEAD_BYTES = 1_024;

  private MessageSize() {
  }

  /** The bytes that a complete request takes. */
  static int of(FullHttpRequest request) {
    return REQUEST_OVERHEAD_BYTES + request.uri().length() + ofHeaders(request.headers())
        + ofHeaders(request.trailingHeaders()) + request.content().readableBytes();
  }

  /** The bytes that headers take. */
  static int ofHeaders(HttpHeaders headers) {
    int bytes = 0;
    Iterator<Map.Entry<CharSequence, CharSequence>> fields = headers.iteratorCharSequence();
    while (fields.hasNext()) {
      Map.Entry<CharSequence, CharSequence> field = fields.next();
      bytes += HEADER_OVERHEAD_BYTES + field.getKey().length() + field.getValue().length();
    }
    return bytes;
  }
}
