package willowdoor.extauthz;

import com.google.protobuf.ByteString;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption;
import io.envoyproxy.envoy.service.auth.v3.CheckResponse;
import io.envoyproxy.envoy.service.auth.v3.DeniedHttpResponse;
import io.envoyproxy.envoy.service.auth.v3.OkHttpResponse;
import io.grpc.Status.Code;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import willowdoor.extauthz.ExtAuthzSettings.AnswerBounds;
import willowdoor.extauthz.Grant.Change;
import willowdoor.extauthz.Grant.HeaderAction;

/**
 * Reads an authoriser's answer.
 *
 * <p>The status code decides: OK allows. PERMISSION_DENIED, UNAUTHENTICATED and all codes that blame the
 * request deny; RESOURCE_EXHAUSTED denies with 429. Codes that mean that the authoriser could not decide
 * (UNAVAILABLE, DEADLINE_EXCEEDED, CANCELLED, ABORTED, INTERNAL, UNKNOWN, DATA_LOSS, UNIMPLEMENTED) are no
 * decision, unless the answer holds a denied response with a status.
 *
 * <p>An allow is applied completely or not at all: an allow with an invalid part, such as a header with a
 * line break, is no decision. Changes of protected headers are ignored ({@link HeaderRules}). A denial stands
 * whatever else is wrong with the answer; its unusable parts are left out.
 */
final class Answers {

  /** The meaning of an answer. */
  sealed interface Reading { }

  /**
   * The request is allowed.
   *
   * @param allowForMs how long the allow may be reused, in milliseconds; 0 for not at all
   */
  record Allowed(Grant grant, double allowForMs) implements Reading { }

  record Denied(Denial denial) implements Reading { }

  /** The authoriser reports that it could not decide. */
  record Undecided(String why) implements Reading { }

  /** The answer violates the protocol. */
  record Malformed(String why) implements Reading { }

  /** The field of dynamic_metadata by which an authoriser permits reuse of its allow, in milliseconds. */
  static final String ALLOW_FOR_MS = "allow_for_ms";
  private static final int MAX_METADATA_CHARS = 1_024;
  private static final int MIN_DENIAL_STATUS = 300;
  private static final int MAX_DENIAL_STATUS = 599;
  /** Has no body (RFC 9110, 15.4.5): the client would read a denial's body as another response. */
  private static final int NOT_MODIFIED = 304;

  private final AnswerBounds bounds;

  Answers(AnswerBounds bounds) {
    this.bounds = bounds;
  }

  Reading read(CheckResponse answer) {
    Code code = code(answer.getStatus().getCode());
    String metadata = answer.hasDynamicMetadata() ? text(answer.getDynamicMetadata()) : null;
    if (code == Code.OK) {
      if (answer.hasDeniedResponse()) {
        return new Malformed("status OK with a denied response");
      }
      return allowed(answer, metadata);
    }
    if (answer.hasOkResponse()) {
      return new Malformed("status " + code + " with an OK response");
    }
    return switch (code) {
      case UNAVAILABLE, DEADLINE_EXCEEDED, CANCELLED, ABORTED, INTERNAL, UNKNOWN, DATA_LOSS, UNIMPLEMENTED ->
          answer.getDeniedResponse().getStatus().getCodeValue() != 0 ? denied(answer, code, metadata)
              : new Undecided("status " + code + " " + truncate(answer.getStatus().getMessage()));
      default -> denied(answer, code, metadata);
    };
  }

  private static Code code(int number) {
    return io.grpc.Status.fromCodeValue(number).getCode();
  }

  private Reading allowed(CheckResponse answer, String metadata) {
    OkHttpResponse ok = answer.getOkResponse();
    if (ok.getQueryParametersToSetCount() > 0 || ok.getQueryParametersToRemoveCount() > 0) {
      return new Malformed("changes the query (expected: headers only)");
    }
    if (ok.getHeadersCount() + ok.getHeadersToRemoveCount() + ok.getResponseHeadersToAddCount()
        > bounds.headers()) {
      return new Malformed("names more than " + bounds.headers() + " headers");
    }
    List<Change> changes = new ArrayList<>();
    List<Change> forClient = new ArrayList<>();
    int bytes = 0;
    for (String name : ok.getHeadersToRemoveList()) {
      if (!HeaderRules.isName(name)) {
        return new Malformed("removes what is no header: " + truncate(name));
      }
      if (!HeaderRules.isProtected(name)) {
        changes.add(new Change(HeaderAction.REMOVE, name, null));
      }
      bytes += name.length();
    }
    for (boolean client : new boolean[] {false, true}) {
      for (HeaderValueOption o : client ? ok.getResponseHeadersToAddList() : ok.getHeadersList()) {
        String name = o.getHeader().getKey();
        String value = value(o.getHeader());
        if (!HeaderRules.isName(name) || !HeaderRules.isValue(value)) {
          return new Malformed("sets what is no header: " + truncate(name));
        }
        if (!HeaderRules.isProtected(name)) {
          (client ? forClient : changes).add(new Change(client ? HeaderAction.APPEND : how(o), name, value));
        }
        bytes += name.length() + value.length();
      }
    }
    if (bytes > bounds.headerBytes()) {
      return new Malformed("names headers of " + bytes + " bytes (expected: at most "
          + bounds.headerBytes() + ")");
    }
    return new Allowed(new Grant(List.copyOf(changes), List.copyOf(forClient), metadata),
        allowFor(answer.getDynamicMetadata()));
  }

  private static double allowFor(Struct metadata) {
    Value v = metadata.getFieldsMap().get(ALLOW_FOR_MS);
    return v != null && v.hasNumberValue() && v.getNumberValue() > 0 ? v.getNumberValue() : 0;
  }

  private Reading denied(CheckResponse answer, Code code, String metadata) {
    DeniedHttpResponse denied = answer.getDeniedResponse();
    int status = denied.getStatus().getCodeValue();
    if (status < MIN_DENIAL_STATUS || status > MAX_DENIAL_STATUS || status == NOT_MODIFIED) {
      status = defaultStatus(code);
    }
    List<Change> headers = new ArrayList<>();
    int bytes = 0;
    for (HeaderValueOption o : denied.getHeadersList()) {
      String name = o.getHeader().getKey();
      String value = value(o.getHeader());
      bytes += name.length() + value.length();
      if (headers.size() >= bounds.headers() || bytes > bounds.headerBytes()) {
        break;
      }
      if (HeaderRules.isName(name) && HeaderRules.isValue(value) && !HeaderRules.isProtected(name)) {
        headers.add(new Change(how(o), name, value));
      }
    }
    ByteString body = denied.getBodyBytes();
    return new Denied(new Denial(status, List.copyOf(headers),
        body.substring(0, Math.min(body.size(), bounds.deniedBodyBytes())).toByteArray(), metadata));
  }

  private static int defaultStatus(Code code) {
    return switch (code) {
      case UNAUTHENTICATED -> 401;
      case RESOURCE_EXHAUSTED -> 429;
      case INVALID_ARGUMENT, FAILED_PRECONDITION, OUT_OF_RANGE -> 400;
      case NOT_FOUND -> 404;
      case ALREADY_EXISTS -> 409;
      default -> 403;
    };
  }

  private static String value(HeaderValue header) {
    return header.getRawValue().isEmpty() ? header.getValue()
        : header.getRawValue().toString(StandardCharsets.ISO_8859_1);
  }

  /** Uses the deprecated flag if set; without flag and action, this protocol overwrites the header. */
  @SuppressWarnings("deprecation")
  private static HeaderAction how(HeaderValueOption option) {
    if (option.hasAppend()) {
      return option.getAppend().getValue() ? HeaderAction.APPEND : HeaderAction.OVERWRITE;
    }
    return switch (option.getAppendAction()) {
      case ADD_IF_ABSENT -> HeaderAction.ADD_IF_ABSENT;
      case OVERWRITE_IF_EXISTS -> HeaderAction.OVERWRITE_IF_THERE;
      default -> HeaderAction.OVERWRITE;
    };
  }

  private static String text(Struct metadata) {
    StringBuilder text = new StringBuilder();
    metadata.getFieldsMap().forEach((name, value) -> text.append(text.isEmpty() ? "" : ", ").append(name)
        .append('=').append(value.toString().trim()));
    return text.length() > MAX_METADATA_CHARS ? text.substring(0, MAX_METADATA_CHARS) : text.toString();
  }

  static String truncate(String text) {
    return text.length() > 200 ? text.substring(0, 200) : text;
  }
}
