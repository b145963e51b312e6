package willowdoor.extauthz;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption.HeaderAppendAction;
import io.envoyproxy.envoy.config.core.v3.QueryParameter;
import io.envoyproxy.envoy.service.auth.v3.CheckResponse;
import io.envoyproxy.envoy.service.auth.v3.DeniedHttpResponse;
import io.envoyproxy.envoy.service.auth.v3.OkHttpResponse;
import io.envoyproxy.envoy.type.v3.HttpStatus;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.extauthz.Answers.Allowed;
import willowdoor.extauthz.Answers.Malformed;
import willowdoor.extauthz.Answers.Denied;
import willowdoor.extauthz.Answers.Undecided;
import willowdoor.extauthz.ExtAuthzSettings.AnswerBounds;

class AnswersTest {

  private final Answers answers = new Answers(new AnswerBounds(65_536, 4, 64, 10));

  private static HeaderValueOption header(String name, String value, HeaderAppendAction action) {
    return HeaderValueOption.newBuilder().setAppendAction(action)
        .setHeader(HeaderValue.newBuilder().setKey(name).setValue(value)).build();
  }

  private static HeaderValueOption header(String name, String value) {
    return header(name, value, HeaderAppendAction.APPEND_IF_EXISTS_OR_ADD);
  }

  private Answers.Reading ok(OkHttpResponse.Builder ok) {
    return answers.read(CheckResponse.newBuilder().setOkResponse(ok).build());
  }

  private Answers.Reading status(int code) {
    return answers.read(CheckResponse.newBuilder().setStatus(com.google.rpc.Status.newBuilder().setCode(code))
        .build());
  }

  @Test
  void headerActionsAreApplied() {
    HttpHeaders onward = new DefaultHttpHeaders().set("a", "1").set("b", "1").set("gone", "1");
    Allowed read = assertInstanceOf(Allowed.class, ok(OkHttpResponse.newBuilder().addHeaders(header("a", "2"))
        .addHeaders(header("b", "2", HeaderAppendAction.ADD_IF_ABSENT))
        .addHeaders(header("c", "2", HeaderAppendAction.OVERWRITE_IF_EXISTS)).addHeadersToRemove("gone")));
    read.grant().applyTo(onward);
    assertEquals("2", onward.get("a"));
    assertEquals(List.of("1"), onward.getAll("b"));
    assertNull(onward.get("c"));
    assertNull(onward.get("gone"));
    assertNull(read.grant().clientHeaders());
    assertEquals(0, read.allowForMs());
  }

  @Test
  void headersOverTheBoundAreMalformed() {
    OkHttpResponse.Builder many = OkHttpResponse.newBuilder();
    for (int i = 0; i < 5; i++) {
      many.addHeaders(header("a" + i, ""));
    }
    assertInstanceOf(Malformed.class, ok(many));
    assertInstanceOf(Malformed.class,
        ok(OkHttpResponse.newBuilder().addHeaders(header("a", "x".repeat(64)))));
    assertInstanceOf(Allowed.class, ok(OkHttpResponse.newBuilder().addHeaders(header("a", "x".repeat(63)))));
  }

  @ParameterizedTest
  @ValueSource(strings = {"a\r\nb", "a\nb", "a\rb", "a\0b", "\u007f", "\u00e9"})
  void invalidHeaderValueIsMalformed(String value) {
    assertInstanceOf(Malformed.class, ok(OkHttpResponse.newBuilder().addHeaders(header("a", value))));
    assertInstanceOf(Malformed.class,
        ok(OkHttpResponse.newBuilder().addResponseHeadersToAdd(header("a", value))));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "a b", "a:", "a\r\nb", ":path", "\u00e9"})
  void invalidHeaderNameIsMalformed(String name) {
    assertInstanceOf(Malformed.class, ok(OkHttpResponse.newBuilder().addHeaders(header(name, "v"))));
    assertInstanceOf(Malformed.class, ok(OkHttpResponse.newBuilder().addHeadersToRemove(name)));
  }

  @Test
  void queryChangesAreMalformed() {
    assertInstanceOf(Malformed.class, ok(OkHttpResponse.newBuilder().addQueryParametersToSet(
        QueryParameter.newBuilder().setKey("a"))));
    assertInstanceOf(Malformed.class, ok(OkHttpResponse.newBuilder().addQueryParametersToRemove("a")));
  }

  @Test
  void contradictoryAnswersAreMalformed() {
    assertInstanceOf(Malformed.class, answers.read(CheckResponse.newBuilder().setDeniedResponse(
        DeniedHttpResponse.getDefaultInstance()).build()));
    assertInstanceOf(Malformed.class, answers.read(CheckResponse.newBuilder().setOkResponse(
        OkHttpResponse.getDefaultInstance()).setStatus(com.google.rpc.Status.newBuilder().setCode(7))
            .build()));
  }

  @Test
  void statusCodesMapToDecisions() {
    int[][] denials = {{7, 403}, {16, 401}, {8, 429}, {3, 400}, {9, 400}, {11, 400}, {5, 404}, {6, 409}};
    for (int[] d : denials) {
      assertEquals(d[1], assertInstanceOf(Denied.class, status(d[0])).denial().status(), "code " + d[0]);
    }
    for (int code : new int[] {1, 2, 4, 10, 12, 13, 14, 15, 99, -1}) {
      assertInstanceOf(Undecided.class, status(code), "code " + code);
    }
  }

  @Test
  void denialStandsDespiteOtherFaults() {
    Denied read = assertInstanceOf(Denied.class, answers.read(CheckResponse.newBuilder()
        .setStatus(com.google.rpc.Status.newBuilder().setCode(14))
        .setDeniedResponse(DeniedHttpResponse.newBuilder().setBody("0123456789abc")
            .setStatus(HttpStatus.newBuilder().setCodeValue(418)).addHeaders(header("a", "b\r\nc"))
            .addHeaders(header("Transfer-Encoding", "chunked")).addHeaders(header("d", "e"))).build()));
    assertEquals(418, read.denial().status());
    assertEquals("0123456789", new String(read.denial().body(), StandardCharsets.US_ASCII));
    assertEquals(List.of("d"), read.denial().headers().stream().map(Grant.Change::name).toList());
    assertEquals(403, assertInstanceOf(Denied.class, answers.read(CheckResponse.newBuilder()
        .setStatus(com.google.rpc.Status.newBuilder().setCode(7)).setDeniedResponse(
            DeniedHttpResponse.newBuilder().setStatus(HttpStatus.newBuilder().setCodeValue(204)))
        .build())).denial().status(), "a denial must not look like a served request");
  }

  @ParameterizedTest
  @ValueSource(ints = {100, 204, 299, 304, 600})
  void invalidDenialStatusIsReplaced(int status) {
    assertEquals(403, assertInstanceOf(Denied.class, answers.read(CheckResponse.newBuilder()
        .setStatus(com.google.rpc.Status.newBuilder().setCode(7)).setDeniedResponse(
            DeniedHttpResponse.newBuilder().setStatus(HttpStatus.newBuilder().setCodeValue(status)))
        .build())).denial().status());
  }

  @Test
  void allowForMsMustBePositive() {
    for (Value v : List.of(Value.newBuilder().setNumberValue(-1).build(), Value.newBuilder()
        .setStringValue("9")
        .build(), Value.newBuilder().setNumberValue(Double.NaN).build())) {
      assertEquals(0, assertInstanceOf(Allowed.class, answers.read(CheckResponse.newBuilder()
          .setDynamicMetadata(Struct.newBuilder().putFields(Answers.ALLOW_FOR_MS, v)).build())).allowForMs());
    }
    Allowed read = assertInstanceOf(Allowed.class, answers.read(CheckResponse.newBuilder().setDynamicMetadata(
        Struct.newBuilder().putFields(Answers.ALLOW_FOR_MS, Value.newBuilder().setNumberValue(9).build())
            .putFields("long", Value.newBuilder().setStringValue("x".repeat(5_000)).build())).build()));
    assertEquals(9, read.allowForMs());
    assertTrue(read.grant().metadata().length() <= 1_024);
  }
}
