package willowdoor.extauthz;

import java.util.Locale;
import java.util.Set;

/**
 * Which headers an authoriser may set. Never those that frame a message (RFC 9112), belong to one connection
 * (RFC 9110, 7.6.1), or tell the door's own protocol who asks, for what, and which repeat it is: by them one
 * request could be made into another.
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

  /** Whether no authoriser may touch it. */
  static boolean isProtected(String name) {
    String lower = name.toLowerCase(Locale.ROOT);
    return FRAMING.contains(lower) || PROTOCOL.contains(lower);
  }

  /** Whether it is a header's name (RFC 9110, 5.1). */
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

  /** Whether it is a header's value of visible ASCII, blanks and tabs: no line ends, no other controls. */
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
