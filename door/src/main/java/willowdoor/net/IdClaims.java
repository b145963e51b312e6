package willowdoor.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import willowdoor.policy.BegunRequests;
import willowdoor.policy.GatewayApi.Request;

/**
 * Claims the ids of requests that must not run twice at the other process of this front door, while there is
 * one. The other process notes a claimed id and does not run a request with it, or it rejects the claim, and
 * the request here is answered as failed ({@link BegunRequests} decides).
 *
 * <p>The process that was first decides where an id comes to both. The second process begins a request only
 * once the first one has confirmed its claim, or has ended: a first process that does not reply may have
 * begun the same request, however long it is silent, so the claim is repeated until the request's time is up.
 * The first process needs no confirmation. Its claims tell the second one what must not begin there when the
 * first has ended; a request waits for that for a limited time, and the claim is repeated until it is noted.
 */
public final class IdClaims implements RequestFilter {

  /** Sends claims to the other process; called on the event loop. */
  public interface Peer {

    /** Whether there is another process. */
    boolean exists();

    /** Whether the other process may take clients. */
    boolean takesClients();

    /** Whether this process is the first of the two. */
    boolean isFirst();

    /** Claims ids; one method of the callback is called, after {@link #REPLY_LIMIT_MS} at the latest. */
    void claim(List<String> ids, Reply callback);
  }

  /** Receives the outcome of a call that claims ids. */
  public interface Reply {

    /** The other process has noted the ids, except for those that it rejects. */
    void onReply(Set<String> rejected);

    /** There was no reply in time, which tells nothing about the other process. */
    void onNoReply();

    /** The system tells that the other process has ended. */
    void onOtherEnded();
  }

  /** How long the reply to one call is waited for, in milliseconds; then the call is repeated. */
  public static final long REPLY_LIMIT_MS = 500;

  /** How long a request of the first process waits until the second one has noted its id. */
  private static final long FIRST_PROCESS_WAIT_MS = 100;
  /** Delay before a call is repeated that failed, or had no reply. */
  private static final long REPEAT_DELAY_MS = 20;
  /** Bytes of ids in one call, whose line is limited to 1 kB; a byte may be encoded by three. */
  private static final int MAX_CALL_ID_BYTES = 256;
  private static final FilteredRequest UNCLAIMED = end -> { };

  private final EventLoop loop;
  private final Peer peer;
  /** Claims that are not part of a call, oldest first. */
  private final LinkedHashSet<Claim> unsent = new LinkedHashSet<>();
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
    enqueue(claim);
    if (!calling) {
      calling = true;
      // After the requests that this turn of the loop still reads, which share the call.
      loop.execute(this::callNext);
    }
    if (peer.isFirst()) {
      proceedUnconfirmed(claim);
    }
    return claim;
  }

  private void proceedUnconfirmed(Claim claim) {
    if (peer.takesClients()) {
      loop.schedule(claim::proceed, FIRST_PROCESS_WAIT_MS, TimeUnit.MILLISECONDS);
    } else {
      claim.proceed();
    }
  }

  /** Adds a claim; at the bound, the oldest of a request that has proceeded is dropped. */
  private void enqueue(Claim claim) {
    unsent.add(claim);
    Iterator<Claim> oldest = unsent.iterator();
    if (unsent.size() > BegunRequests.MAX_IDS && oldest.next().state == Claim.State.PROCEEDED) {
      oldest.remove();
    }
  }

  private void callNext() {
    if (!peer.exists()) {
      onOtherEnded(List.of());
      return;
    }
    List<Claim> batch = nextBatch();
    calling = !batch.isEmpty();
    if (calling) {
      peer.claim(batch.stream().map(claim -> claim.id).toList(), replyTo(batch));
    }
  }

  private Reply replyTo(List<Claim> batch) {
    return new Reply() {
      @Override
      public void onReply(Set<String> rejected) {
        batch.forEach(claim -> claim.settle(rejected.contains(claim.id)));
        callNext();
      }

      @Override
      public void onNoReply() {
        repeatLater(batch);
      }

      @Override
      public void onOtherEnded() {
        IdClaims.this.onOtherEnded(batch);
      }
    };
  }

  private void repeatLater(List<Claim> batch) {
    List<Claim> later = List.copyOf(unsent);
    unsent.clear();
    batch.stream().filter(claim -> claim.state != Claim.State.OVER).forEach(this::enqueue);
    later.forEach(this::enqueue);
    RequestLog.note(null, "claims are repeated", "count", unsent.size());
    loop.schedule(this::callNext, REPEAT_DELAY_MS, TimeUnit.MILLISECONDS);
  }

  private void onOtherEnded(List<Claim> batch) {
    List<Claim> waiting = new ArrayList<>(batch);
    waiting.addAll(unsent);
    unsent.clear();
    calling = false;
    waiting.forEach(Claim::proceed);
  }

  private List<Claim> nextBatch() {
    List<Claim> batch = new ArrayList<>();
    int bytes = 0;
    for (Claim claim : unsent) {
      bytes += claim.id.length();
      if (!batch.isEmpty() && bytes > MAX_CALL_ID_BYTES) {
        break;
      }
      batch.add(claim);
    }
    batch.forEach(unsent::remove);
    return batch;
  }

  /** Divides ids into lists that fit into one call each. */
  public static List<List<String>> batches(List<String> ids) {
    List<List<String>> batches = new ArrayList<>();
    int bytes = MAX_CALL_ID_BYTES;
    for (String id : ids) {
      bytes += id.length();
      if (bytes > MAX_CALL_ID_BYTES) {
        batches.add(new ArrayList<>());
        bytes = id.length();
      }
      batches.get(batches.size() - 1).add(id);
    }
    return batches;
  }

  /** The claim of one request's id. */
  private final class Claim implements FilteredRequest {

    /** A claim is over once it has a reply, or its request has ended without having proceeded. */
    private enum State { WAITING, PROCEEDED, OVER }

    private final String id;
    private final Continuation continuation;
    private State state = State.WAITING;

    Claim(String id, Continuation continuation) {
      this.id = id;
      this.continuation = continuation;
    }

    /** The other process has replied. */
    void settle(boolean rejected) {
      if (rejected && state == State.WAITING) {
        state = State.OVER;
        RequestLog.note(id, "rejected by the other process");
        continuation.answer(
            ClientMessages.text(HttpResponseStatus.BAD_REQUEST, "Request-Id was used before"));
      }
      proceed();
      state = State.OVER;
    }

    /** Lets the request proceed if it still waits. */
    void proceed() {
      if (state == State.WAITING) {
        state = State.PROCEEDED;
        RequestLog.note(id, "proceeds past its claim");
        continuation.proceed(null);
      }
    }

    /** What has not proceeded needs no claim any more; what has is still claimed. */
    @Override
    public void onEnd(RequestEnd end) {
      if (state == State.WAITING) {
        state = State.OVER;
        unsent.remove(this);
      }
    }
  }
}
