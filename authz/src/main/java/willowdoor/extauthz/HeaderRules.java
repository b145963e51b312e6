package willowdoor.extauthz;

import java.util.Locale;
import java.util.Set;

/**
 * Decides which headers an authoriser may set. Never allowed are headers that frame a message (RFC 9112) or
 * belong to one connection (RFC 9110, 7.6.1), and those of the door's own protocol that tell the customer,
 * the kind of request and the retry count: they could turn one request into another.
 */
final class HeaderRules {

  private static final Set<String> FRAMING = Set.of("content-length", "transfer-encoding", "connection",
      "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
      "upgrade", "expect", "host", "content-encoding");
  private static final Set<String> PROTOCOL = Set.of("request-id", "request-class", "idempotency-key",
      "x-plan", "x-customer", "x-quota", "request-timeout-ms", "client-retry", "not-started",
      "x-units-charged");
  private static final int MAX_NAME_CHARS = 128;
  private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

  private HeaderRules() {
  }

  /** Returns whether authorisers may not change this header. */
  static boolean isProtected(String name) {
    String lower = name.toLowerCase(Locale.ROOT);
    return FRAMING.contains(lower) || PROTOCOL.contains(lower);
  }

  /** Returns whether this is a valid header name (RFC 9110, 5.1) of acceptable length. */
  static boolean isName(String name) {
    if (name.isEmpty() || name.length() > MAX_NAME_CHARS) {
      return false;
    }
    for (int i = 0; i < name.length(); i++) {
      char c = name.charAt(i);
      boolean plain = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
      if (!plain && TOKEN_MARKS.indexOf(c) < 0) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether this is a valid header value: visible ASCII, blanks and tabs, without line breaks or
   * other control characters.
   */
  static boolean isValue(String value) {
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      if (c != '\t' && (c < ' ' || c > '~')) {
        return false;
      }
    }
    return true;
  }
}
