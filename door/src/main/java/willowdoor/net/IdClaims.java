package willowdoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import willowdoor.policy.GatewayApi.Request;

/**
 * Claims the ids of requests that must not run twice at the other process of this front door, while there is
 * one. The other process notes a claimed id and does not run a request with it; if it holds such a request
 * already, or one has begun there, it rejects the claim, and the request here is answered as failed. A
 * request waits for that reply only while the other process takes clients, and for a limited time: a process
 * that does not reply claims each id here before it runs the request itself.
 */
public final class IdClaims implements RequestFilter {

  /** Sends claims to the other process; called on the event loop. */
  public interface Peer {

    /** Whether there is another process. */
    boolean exists();

    /** Whether the other process may take clients. */
    boolean takesClients();

    /** Claims ids; one method of the callback is called, after {@link #REPLY_LIMIT_MS} at the latest. */
    void claim(List<String> ids, Reply callback);
  }

  /** Receives the outcome of a call that claims ids. */
  public interface Reply {

    /** The other process has noted the ids, except for those that it rejects. */
    void onReply(Set<String> rejected);

    /** There was no reply in time, or there is no other process any more. */
    void onNoReply();
  }

  /** How long the reply to a claim is waited for, in milliseconds. */
  public static final long REPLY_LIMIT_MS = 100;

  /** Bytes of ids in one call, whose line is limited to 1 kB; a byte may be encoded by three. */
  private static final int MAX_CALL_ID_BYTES = 256;
  private static final FilteredRequest UNCLAIMED = end -> { };

  private final EventLoop loop;
  private final Peer peer;
  /** Claims that were not sent yet: one of each request at most, as many as the gateway holds requests. */
  private final ArrayDeque<Claim> unsent = new ArrayDeque<>();
  private boolean calling;

  /** A filter that claims ids at that peer; everything runs on that event loop. */
  public IdClaims(EventLoop loop, Peer peer) {
    this.loop = loop;
    this.peer = peer;
  }

  @Override
  public boolean appliesTo(Request request) {
    return peer.exists();
  }

  @Override
  public boolean wantsQuotaPrecheck() {
    return false;
  }

  @Override
  public FilteredRequest filter(Request request, FullHttpRequest message, Origin origin,
      Continuation continuation) {
    if (message.method().equals(HttpMethod.GET)) {
      continuation.proceed(null);
      return UNCLAIMED;
    }
    Claim claim = new Claim(request.id(), continuation);
    unsent.add(claim);
    if (!calling) {
      calling = true;
      // After the requests that this turn of the loop still reads, which share the call.
      loop.execute(this::callNext);
    }
    if (!peer.takesClients()) {
      claim.settle(false);
    }
    return claim;
  }

  private void callNext() {
    List<Claim> batch = nextBatch();
    calling = !batch.isEmpty();
    if (calling) {
      peer.claim(batch.stream().map(claim -> claim.id).toList(), new Reply() {
        @Override
        public void onReply(Set<String> rejected) {
          batch.forEach(claim -> claim.settle(rejected.contains(claim.id)));
          callNext();
        }

        @Override
        public void onNoReply() {
          // What waited behind the call would wait again for as long, one call after the other.
          batch.addAll(unsent);
          unsent.clear();
          batch.forEach(claim -> claim.settle(false));
          callNext();
        }
      });
    }
  }

  private List<Claim> nextBatch() {
    List<Claim> batch = new ArrayList<>();
    int bytes = 0;
    while (!unsent.isEmpty()) {
      int idBytes = unsent.peek().id.length();
      if (!batch.isEmpty() && bytes + idBytes > MAX_CALL_ID_BYTES) {
        break;
      }
      bytes += idBytes;
      batch.add(unsent.poll());
    }
    return batch;
  }

  /** The claim of one request's id. */
  private static final class Claim implements FilteredRequest {
    private final String id;
    private final Continuation continuation;
    private boolean settled;

    Claim(String id, Continuation continuation) {
      this.id = id;
      this.continuation = continuation;
    }

    void settle(boolean rejected) {
      if (settled) {
        return;
      }
      settled = true;
      RequestLog.note(id, "claimed at the other process", "rejected", rejected);
      if (rejected) {
        continuation.answer(usedBefore());
      } else {
        continuation.proceed(null);
      }
    }

    private static DefaultFullHttpResponse usedBefore() {
      ByteBuf text = Unpooled.copiedBuffer("Request-Id was used before\n", StandardCharsets.US_ASCII);
      return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_REQUEST, text);
    }

    @Override
    public void onEnd(RequestEnd end) {
      settled = true;
    }
  }
}
