package willowdoor.daemon.life;

import io.netty.channel.ChannelHandlerContext;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import willowdoor.net.FrontDoor;
import willowdoor.net.IdClaims;

/**
 * The claims of request ids ({@link IdClaims}) between the two processes of a handover, as lines on its
 * connection, in both directions; one object for the process before this one, one for its successor. Ids are
 * percent-encoded:
 *
 * <pre>
 *   claim NUMBER ID...       requests with these ids are about to begin at the sender
 *   claimed NUMBER ID...     the reply: those of the ids that must not begin there
 * </pre>
 *
 * <p>The holder adds the word {@code claims} to its line {@code handing}; the successor then sends an empty
 * claim before it is ready, and the holder tells it what has begun so far, by claims with the number 0. An
 * older process does neither, and gets no such line. Everything runs on the event loop.
 */
final class HandoverClaims implements IdClaims.Peer {

  static final String SUPPORTED = "claims";
  private static final String CLAIM = "claim";
  private static final String CLAIMED = "claimed";

  /** Number of claims to whose reply nobody listens. */
  private static final String NO_REPLY_WANTED = "0";

  private final FrontDoor door;
  /** Whether this process holds the socket, and the other one is its successor. */
  private final boolean isHolder;
  /** The holder has refused the handover while its connection was open, and goes on. */
  private boolean refused;
  /** The connection to the other process, or null. */
  private ChannelHandlerContext other;
  private boolean otherTakesClients;
  private long lastNumber;
  /** Waits for the reply to the last claim, or null. */
  private IdClaims.Reply callback;

  HandoverClaims(FrontDoor door, boolean isHolder) {
    this.door = door;
    this.isHolder = isHolder;
  }

  /**
   * From now on, ids are claimed at the process at the other end of the connection.
   *
   * @param takesClients whether that process takes clients; if not, {@link #onOtherTakesClients} follows
   */
  void attach(ChannelHandlerContext connection, boolean takesClients) {
    if (other != connection) {
      detach(other);
      other = connection;
      otherTakesClients = takesClients;
    }
  }

  void onOtherTakesClients(ChannelHandlerContext connection) {
    otherTakesClients |= other == connection;
  }

  /** The connection has ended, and with it the other process, unless that one has refused the handover. */
  void detach(ChannelHandlerContext connection) {
    if (other != null && other == connection) {
      other = null;
      if (!refused) {
        door.onOtherProcessEnded();
      }
      finish(lastNumber, refused ? IdClaims.Reply::onNoReply : IdClaims.Reply::onOtherEnded);
    }
  }

  /** The holder refuses the handover, closes the connection and goes on: nothing is confirmed any more. */
  void onRefused() {
    refused = true;
  }

  /** Handles a line of the connection if it is about claims; returns whether it is. */
  boolean handle(ChannelHandlerContext connection, String line) {
    String[] words = line.split(" ");
    if (words.length < 2 || !words[0].equals(CLAIM) && !words[0].equals(CLAIMED)) {
      return false;
    }
    try {
      List<String> ids = Stream.of(words).skip(2)
          .map(word -> URLDecoder.decode(word, StandardCharsets.UTF_8)).toList();
      if (words[0].equals(CLAIM)) {
        if (isHolder && other != connection) {
          attach(connection, false);
          tellBegun();
        }
        // Behind the requests that this turn of the loop has read: they came before.
        door.loop().execute(() -> reply(connection, words[1], ids));
      } else if (other == connection) {
        finish(Long.parseLong(words[1]), waiting -> waiting.onReply(Set.copyOf(ids)));
      }
      return true;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private void reply(ChannelHandlerContext connection, String number, List<String> ids) {
    HandoverProtocol.writeLine(connection, line(CLAIMED, number, door.rejectedClaims(ids, isHolder)));
  }

  private void tellBegun() {
    for (List<String> ids : IdClaims.batches(door.begunIds())) {
      HandoverProtocol.writeLine(other, line(CLAIM, NO_REPLY_WANTED, ids));
    }
  }

  private static String line(String word, String number, List<String> ids) {
    Function<String, String> encode = id -> " " + URLEncoder.encode(id, StandardCharsets.UTF_8);
    return word + " " + number + ids.stream().map(encode).collect(Collectors.joining());
  }

  /** Tells the other process, by an empty claim, that this one takes part. */
  void announce() {
    HandoverProtocol.writeLine(other, line(CLAIM, NO_REPLY_WANTED, List.of()));
  }

  @Override
  public boolean exists() {
    return other != null || refused;
  }

  @Override
  public boolean takesClients() {
    return other != null && otherTakesClients;
  }

  @Override
  public boolean isFirst() {
    return isHolder;
  }

  @Override
  public void claim(List<String> ids, IdClaims.Reply whenReplied) {
    if (refused) {
      whenReplied.onNoReply();
      return;
    }
    if (other == null) {
      whenReplied.onOtherEnded();
      return;
    }
    long number = ++lastNumber;
    callback = whenReplied;
    HandoverProtocol.writeLine(other, line(CLAIM, Long.toString(number), ids));
    door.loop().schedule(() -> finish(number, IdClaims.Reply::onNoReply), IdClaims.REPLY_LIMIT_MS,
        TimeUnit.MILLISECONDS);
  }

  private void finish(long number, Consumer<IdClaims.Reply> outcome) {
    if (callback != null && number == lastNumber) {
      IdClaims.Reply waiting = callback;
      callback = null;
      outcome.accept(waiting);
    }
  }
}
