package willowdoor.extauthz;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/**
 * The response to a denied request.
 *
 * @param metadata for the log, or null
 */
record Denial(int status, List<Grant.Change> headers, byte[] body, String metadata) {

  FullHttpResponse answer() {
    DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
        HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    headers.forEach(c -> c.applyTo(answer.headers()));
    return answer;
  }
}
