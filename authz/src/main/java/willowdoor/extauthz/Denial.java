package willowdoor.extauthz;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** What a denied request's client is told. */
record Denial(int status, List<Grant.Change> headers, byte[] body, String metadata) {

  FullHttpResponse answer() {
    DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
        HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    headers.forEach(c -> c.applyTo(answer.headers()));
    return answer;
  }
}
