package willowdoor.extauthz;

import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;
import willowdoor.authz.AuthzSettings;

/**
 * Settings of the authorisation gate.
 *
 * @param decisions which authorisers to ask, and how their answers are used; its members and authorisers have
 *     the order of the lists here
 * @param links connection settings of each authoriser
 * @param contents the content of checks, for each member
 * @param bounds limits of an authoriser's answer
 * @param log the decision log, or null for none
 * @param maxRetryAfterMs upper limit of the retry time given with refusals; 0 for no retry time
 */
public record ExtAuthzSettings(AuthzSettings decisions, List<Link> links, List<Content> contents,
    AnswerBounds bounds, Log log, double maxRetryAfterMs) {

  /**
   * Connection settings of one authoriser.
   *
   * @param tls null for plaintext
   * @param keepAliveMs a connection that received nothing for this long is pinged
   * @param keepAliveAnswerMs a connection that doesn't answer the ping for this long is closed
   */
  public record Link(String name, SocketAddress address, Tls tls, double keepAliveMs,
      double keepAliveAnswerMs) { }

  /**
   * TLS settings of an authoriser, with PEM files.
   *
   * @param ca the trusted certificates
   * @param certificate this door's certificate chain for mutual TLS, or null
   * @param key the PKCS 8 key of the certificate, or null
   * @param serverName the name that the authoriser's certificate must have
   * @param checkIntervalMs interval at which the files are checked for changes
   */
  public record Tls(Path ca, Path certificate, Path key, String serverName, double checkIntervalMs) { }

  /**
   * What a check contains of a request.
   *
   * @param headers names of the headers, in lower case
   * @param bodyBytes maximum number of bytes of the body; 0 for no body
   */
  public record Content(List<String> headers, int bodyBytes) { }

  /**
   * Limits of an authoriser's answer.
   *
   * @param answerBytes size of the whole answer; a larger answer fails the call
   * @param headers number of headers; an allow with more is malformed
   * @param headerBytes total size of their names and values
   * @param deniedBodyBytes size of a denial's body; a longer body is truncated
   */
  public record AnswerBounds(int answerBytes, int headers, int headerBytes, int deniedBodyBytes) { }

  /**
   * Settings of the decision log.
   *
   * @param records maximum number of unwritten records; further ones are dropped and counted
   */
  public record Log(Path file, int records) { }
}
