package willowdoor.extauthz;

import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;
import willowdoor.authz.AuthzSettings;

/**
 * What the gate goes by.
 *
 * @param decisions whom to ask, and what follows; members and authorisers are in the order of the lists here
 * @param links how each authoriser is reached
 * @param contents what a check of each member carries
 * @param bounds of what an authoriser may say
 * @param log the file of decisions, or null for none
 * @param maxRetryAfterMs refusals name a later moment than this never; 0 means that they give no advice
 */
public record ExtAuthzSettings(AuthzSettings decisions, List<Link> links, List<Content> contents,
    AnswerBounds bounds, Log log, double maxRetryAfterMs) {

  /**
   * How one authoriser is reached.
   *
   * @param tls null for plaintext
   * @param keepAliveMs a connection on which nothing came for so long is pinged
   * @param keepAliveAnswerMs and closed when it doesn't answer for so long
   */
  public record Link(String name, SocketAddress address, Tls tls, double keepAliveMs,
      double keepAliveAnswerMs) { }

  /**
   * TLS to an authoriser, by PEM files.
   *
   * @param ca whose certificates are trusted
   * @param certificate this door's own chain for mutual TLS, or null
   * @param key its PKCS 8 key, or null
   * @param serverName the name that the authoriser's certificate must bear
   * @param checkIntervalMs how often the files are looked at for changes
   */
  public record Tls(Path ca, Path certificate, Path key, String serverName, double checkIntervalMs) { }

  /**
   * What a check carries of a request.
   *
   * @param headers names of the headers, in lower case
   * @param bodyBytes so much of the body at the most; 0 is none of it
   */
  public record Content(List<String> headers, int bodyBytes) { }

  /**
   * What an authoriser's answer may hold.
   *
   * @param answerBytes of a whole answer; a larger one is a failed call
   * @param headers that an answer names; with more it can't be read
   * @param headerBytes of all their names and values
   * @param deniedBodyBytes of a denial's body; the rest is cut off
   */
  public record AnswerBounds(int answerBytes, int headers, int headerBytes, int deniedBodyBytes) { }

  /**
   * The decisions' log.
   *
   * @param records kept for the writing thread at the most; further ones are dropped and counted
   */
  public record Log(Path file, int records) { }
}
