package willowdoor.net;

import io.netty.util.AsciiString;

/** Names of the headers that the gateway's protocol defines. */
final class Headers {

  static final AsciiString REQUEST_ID = AsciiString.cached("Request-Id");
  static final AsciiString REQUEST_CLASS = AsciiString.cached("Request-Class");
  static final AsciiString PLAN = AsciiString.cached("X-Plan");
  static final AsciiString CUSTOMER = AsciiString.cached("X-Customer");
  static final AsciiString TIMEOUT_MS = AsciiString.cached("Request-Timeout-Ms");
  static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");
  static final AsciiString QUOTA = AsciiString.cached("X-Quota");
  static final AsciiString NOT_STARTED = AsciiString.cached("Not-Started");
  static final AsciiString UNITS_CHARGED = AsciiString.cached("X-Units-Charged");

  private Headers() {
  }
}
