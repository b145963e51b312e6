package willowdoor.extauthz;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * The content of an allow: changes of the headers sent to the backend, and headers for the client.
 *
 * @param metadata for the log, or null
 */
record Grant(List<Change> changes, List<Change> forClient, String metadata) {

  /** How a header is changed. */
  enum HeaderAction { OVERWRITE, APPEND, ADD_IF_ABSENT, OVERWRITE_IF_THERE, REMOVE }

  /** A change of one header; {@code value} is null for a removal. */
  record Change(HeaderAction how, String name, String value) {

    void applyTo(HttpHeaders headers) {
      switch (how) {
        case OVERWRITE -> headers.set(name, value);
        case APPEND -> headers.add(name, value);
        case ADD_IF_ABSENT -> {
          if (!headers.contains(name)) {
            headers.add(name, value);
          }
        }
        case OVERWRITE_IF_THERE -> {
          if (headers.contains(name)) {
            headers.set(name, value);
          }
        }
        case REMOVE -> headers.remove(name);
        default -> throw new AssertionError(how);
      }
    }
  }

  void applyTo(HttpHeaders onward) {
    changes.forEach(c -> c.applyTo(onward));
  }

  /** Returns the headers for the client, or null if there are none. */
  HttpHeaders clientHeaders() {
    if (forClient.isEmpty()) {
      return null;
    }
    HttpHeaders headers = new DefaultHttpHeaders();
    forClient.forEach(c -> c.applyTo(headers));
    return headers;
  }
}
