package willowdoor.daemon.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.BoolValue;
import com.google.protobuf.ByteString;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption;
import io.envoyproxy.envoy.service.auth.v3.AttributeContext;
import io.envoyproxy.envoy.service.auth.v3.CheckRequest;
import io.envoyproxy.envoy.service.auth.v3.CheckResponse;
import io.envoyproxy.envoy.service.auth.v3.DeniedHttpResponse;
import io.envoyproxy.envoy.service.auth.v3.OkHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http2.Http2Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import willowdoor.life.InstanceLifecycle;
import willowdoor.testkit.EventHistory.Kind;
import willowdoor.testkit.RequestKind;
import willowdoor.testkit.StandInAuthoriser;
import willowdoor.testkit.StandInAuthoriser.Behaviour;
import willowdoor.testkit.StandInBackend;

/**
 * Authorisation checks under faults of authorisers, backends and clients. Each run is checked against the
 * five rules of the test kit, and the two rules of authorisation.
 */
@Timeout(60)
class ExternalAuthorisationTest {

  private AuthorisedFixture fixture;
  private StandInAuthoriser authoriser;

  private void open(boolean idempotent) throws Exception {
    fixture = new AuthorisedFixture(2, 20, idempotent);
    authoriser = fixture.authoriser("one", "");
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private void assertRulesKept() {
    assertTrue(fixture.daemons.verdict().passed(), () -> fixture.daemons.verdict().toString());
  }

  private int statusOfBuy(DaemonFixture.Caller caller, String id, int timeoutMs) throws IOException {
    caller.send(id, RequestKind.BUY, timeoutMs);
    return caller.receiveStatus();
  }

  private int statusOfBuy(Daemon daemon, String id) throws Exception {
    try (DaemonFixture.Caller caller = fixture.caller(daemon)) {
      return statusOfBuy(caller, id, 2_000);
    }
  }

  private static HeaderValueOption headerOption(String name, String value) {
    return HeaderValueOption.newBuilder().setHeader(HeaderValue.newBuilder().setKey(name).setValue(value))
        .build();
  }

  private static CheckResponse ok(HeaderValueOption... headers) {
    OkHttpResponse.Builder ok = OkHttpResponse.newBuilder();
    for (HeaderValueOption h : headers) {
      ok.addHeaders(h);
    }
    return CheckResponse.newBuilder().setOkResponse(ok).build();
  }

  @Test
  void anAllowedBuyIsServedAndUnguardedClassesAreNotChecked() throws Exception {
    open(false);
    Daemon daemon = fixture.startDaemon("headers = [\"x-plan\", \"content-type\"]\nbody_bytes = 3\n", "");
    DaemonFixture.Caller caller = fixture.caller(daemon);
    assertEquals(200, statusOfBuy(caller, "r1", 2_000));
    CheckRequest seen = authoriser.nextCheck();
    AttributeContext.HttpRequest http = seen.getAttributes().getRequest().getHttp();
    assertEquals("r1", http.getId());
    assertEquals("POST /register-buy/1 HTTP/1.1", http.getMethod() + " " + http.getPath() + " "
        + http.getProtocol());
    assertEquals("b", http.getHost());
    assertEquals(4, http.getSize());
    assertEquals("bod", http.getBody());
    assertEquals("true", http.getHeadersOrThrow("x-envoy-auth-partial-body"));
    assertEquals("full", http.getHeadersOrThrow("x-plan"));
    assertEquals(2, http.getHeadersCount(), "only the configured headers are sent");
    assertEquals("127.0.0.1", seen.getAttributes().getSource().getAddress().getSocketAddress().getAddress());
    assertEquals("0000000000000042", seen.getAttributes().getContextExtensionsOrThrow("firm"));
    assertEquals("register-buy", seen.getAttributes().getContextExtensionsOrThrow("class"));
    caller.send("r2", RequestKind.QUOTE, 2_000);
    assertEquals(200, caller.receiveStatus());
    assertEquals(1, authoriser.checks());
    String line = fixture.awaitLogLine("r1");
    assertTrue(line.contains("\"decision\":\"ALLOWED\"") && line.contains("\"end\":\"SERVED\"")
        && line.contains("\"to\":\"one\""), line);
    assertRulesKept();
  }

  @Test
  void aDenialIsSentToTheClientAndUsesNoQuota() throws Exception {
    open(false);
    authoriser.setScript(r -> StandInAuthoriser.deny(402, "no credit").toBuilder().setDeniedResponse(
        StandInAuthoriser.deny(402, "no credit").getDeniedResponse().toBuilder()
            .addHeaders(headerOption("X-Why", "credit")).addHeaders(headerOption("Content-Length", "3"))
            .addHeaders(headerOption("X-Bad", "a\r\nSet-Cookie: b"))).build());
    Daemon daemon = fixture.startDaemon("", "");
    DaemonFixture.Caller caller = fixture.caller(daemon);
    assertEquals(402, statusOfBuy(caller, "r1", 2_000));
    assertEquals("no credit", caller.body());
    assertEquals("credit", caller.headers().get("x-why"));
    assertNull(caller.headers().get("x-bad"));
    assertNull(caller.headers().get("set-cookie"));
    assertFalse(fixture.reachedBackend("r1"));
    assertEquals(0, fixture.daemons.rig.counter().calls());
    assertTrue(fixture.awaitLogLine("r1").contains("\"decision\":\"DENIED 402\""));
    assertRulesKept();
  }

  @Test
  void eachRequestIsCheckedOnceEvenIfDecisionsFlip() throws Exception {
    open(false);
    authoriser.setBehaviour(Behaviour.FLIPS);
    Daemon daemon = fixture.startDaemon("", "");
    DaemonFixture.Caller caller = fixture.caller(daemon);
    for (int i = 0; i < 10; i++) {
      assertEquals(i % 2 == 0 ? 200 : 403, statusOfBuy(caller, "r" + i, 2_000));
    }
    assertEquals(10, authoriser.checks());
    assertRulesKept();
  }

  /** The limit of the member is much longer, so the client's deadline ends the call. */
  @Test
  void aCheckThatHangsIsCancelledAtTheClientsDeadline() throws Exception {
    open(false);
    authoriser.setBehaviour(Behaviour.STALLS);
    Daemon daemon = fixture.startDaemon("limit_ms = 60000\nbackends_share = 0\n", "");
    DaemonFixture.Caller caller = fixture.caller(daemon);
    assertEquals(503, statusOfBuy(caller, "r1", 400));
    DaemonFixture.await("the call given up", () -> authoriser.abandoned() == 1);
    assertFalse(fixture.reachedBackend("r1"));
    assertEquals(0, fixture.daemons.rig.counter().calls());
    assertRulesKept();
  }

  @Test
  void retriesAfterABackendFailureUseTheSameAllowAndANewIdIsCheckedAgain() throws Exception {
    open(false);
    Daemon daemon = fixture.startDaemon("", "");
    fixture.daemons.rig.backendPool().backend(0).setBehaviour(StandInBackend.Behaviour.RESETS);
    DaemonFixture.Caller caller = fixture.caller(daemon);
    int asked = 0;
    while (asked == 0 || fixture.count("r" + (asked - 1), Kind.LAST_BYTE) < 2) {
      assertEquals(200, statusOfBuy(caller, "r" + asked, 3_000));
      asked++;
      assertTrue(asked < 100, "no request was sent to the failing backend");
    }
    assertEquals(asked, authoriser.checks());
    assertEquals(200, statusOfBuy(caller, "other", 3_000));
    assertEquals(asked + 1, authoriser.checks());
    assertRulesKept();
  }

  @ParameterizedTest
  @EnumSource(value = Behaviour.class, names = {"DIES", "RESETS", "SPOILS", "OVERSIZED", "ANSWERS_TWICE",
      "UNAVAILABLE", "STALLS", "LATE"})
  void withoutAValidAnswerABuyIsRefusedAndNoOtherAuthoriserIsAsked(Behaviour mood) throws Exception {
    open(false);
    authoriser.setBehaviour(mood);
    authoriser.setDelay(mood == Behaviour.LATE ? 600 : 0);
    StandInAuthoriser two = fixture.authoriser("two", "");
    Daemon daemon = fixture.startDaemon("limit_ms = 200\n", "");
    DaemonFixture.Caller caller = fixture.caller(daemon);
    assertEquals(503, statusOfBuy(caller, "r1", 2_000));
    assertTrue(Double.parseDouble(caller.headers().get("retry-after")) > 0);
    assertEquals(1, authoriser.checks());
    assertEquals(0, two.checks());
    // Once the other authoriser has been asked, any late effect of the first check has occurred.
    authoriser.setBehaviour(Behaviour.ALLOWS);
    authoriser.setDelay(0);
    assertEquals(200, statusOfBuy(daemon, "r2"));
    assertFalse(fixture.reachedBackend("r1"), () -> fixture.daemons.history("r1").toString());
    assertTrue(fixture.awaitLogLine("r1").contains("\"decision\":\"REFUSED FAILED\""), () -> ""
        + fixture.log);
    assertRulesKept();
  }

  @ParameterizedTest
  @EnumSource(value = Behaviour.class, names = {"DIES", "RESETS", "SPOILS", "OVERSIZED", "ANSWERS_TWICE",
      "UNAVAILABLE", "STALLS", "LATE"})
  void whereChecksAreIdempotentTheOtherAuthoriserIsAsked(Behaviour mood) throws Exception {
    open(true);
    authoriser.setBehaviour(mood);
    authoriser.setDelay(mood == Behaviour.LATE ? 600 : 0);
    StandInAuthoriser two = fixture.authoriser("two", "");
    Daemon daemon = fixture.startDaemon("limit_ms = 200\nidempotent = true\n", "");
    assertEquals(200, statusOfBuy(daemon, "r1"));
    assertEquals(1, two.checks());
    assertRulesKept();
  }

  @Test
  void ifAnAuthoriserIsUnreachableTheOtherIsAsked() throws Exception {
    open(false);
    StandInAuthoriser two = fixture.authoriser("two", "");
    Daemon daemon = fixture.startDaemon("", "");
    assertEquals(200, statusOfBuy(daemon, "r1"));
    authoriser.kill();
    for (int i = 2; i < 12; i++) {
      assertEquals(200, statusOfBuy(daemon, "r" + i));
    }
    assertEquals(10, two.checks());
    // After its return a probe asks it again.
    authoriser.restart();
    DaemonFixture.await("asked again", () -> {
      try {
        return statusOfBuy(daemon, "p" + System.nanoTime()) == 200 && authoriser.checks() > 1;
      } catch (Exception e) {
        throw new AssertionError(e);
      }
    });
    assertRulesKept();
  }

  @ParameterizedTest
  @EnumSource(value = Behaviour.class, names = {"GOES_AWAY", "GOES_AWAY_UNSEEN", "REFUSES_STREAMS"})
  void anOrderlyConnectionCloseLosesNoCheck(Behaviour mood) throws Exception {
    open(false);
    Daemon daemon = fixture.startDaemon("", "");
    assertEquals(200, statusOfBuy(daemon, "r0"));
    authoriser.setBehaviour(mood);
    DaemonFixture.Caller caller = fixture.caller(daemon);
    for (int i = 1; i <= 5; i++) {
      int status = statusOfBuy(caller, "r" + i, 2_000);
      assertTrue(mood == Behaviour.GOES_AWAY ? status == 200 : status == 503, mood + " " + status);
    }
    authoriser.setBehaviour(Behaviour.ALLOWS);
    DaemonFixture.await("allowed again", () -> {
      try {
        return statusOfBuy(daemon, "p" + System.nanoTime()) == 200;
      } catch (Exception e) {
        throw new AssertionError(e);
      }
    });
    assertRulesKept();
  }

  @Test
  void aCheckIsCancelledWhenItsClientDisconnects() throws Exception {
    open(false);
    authoriser.setBehaviour(Behaviour.STALLS);
    Daemon daemon = fixture.startDaemon("limit_ms = 60000\n", "");
    DaemonFixture.Caller caller = fixture.caller(daemon);
    caller.send("r1", RequestKind.BUY, 4_000);
    fixture.daemons.awaitRecorded("r1", Kind.CHECKED);
    fixture.daemons.rig.eventHistory().addRequestEntry(Kind.LEFT, "r1", "d0", 0, "");
    caller.close();
    DaemonFixture.await("the call given up", () -> authoriser.abandoned() == 1);
    assertFalse(fixture.reachedBackend("r1"));
    assertEquals(0, fixture.daemons.rig.counter().calls());
    assertTrue(fixture.awaitLogLine("r1").contains("\"end\":\"LEFT\""));
    assertRulesKept();
  }

  @Test
  void clientsMayDisconnectJustAsTheAllowArrives() throws Exception {
    open(false);
    Daemon daemon = fixture.startDaemon("", "");
    for (int i = 0; i < 30; i++) {
      DaemonFixture.Caller caller = fixture.caller(daemon);
      String id = "r" + i;
      CountDownLatch sent = new CountDownLatch(1);
      authoriser.setScript(r -> {
        try {
          sent.await(DaemonFixture.TIMEOUT_MS, TimeUnit.MILLISECONDS);
          fixture.daemons.rig.eventHistory().addRequestEntry(Kind.LEFT, id, "d0", 0, "");
          caller.close();
        } catch (IOException e) {
          throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
        return StandInAuthoriser.allow();
      });
      caller.send(id, RequestKind.BUY, 2_000);
      sent.countDown();
      fixture.daemons.awaitRecorded(id, Kind.ALLOWED);
    }
    authoriser.setScript(null);
    assertEquals(200, statusOfBuy(daemon, "last"));
    for (int i = 0; i < 30; i++) {
      fixture.awaitLogLine("r" + i);
    }
    fixture.awaitLogLine("last");
    assertEquals(31, java.nio.file.Files.readAllLines(fixture.log).size(), "each request has one log line");
    daemon.requestEnd();
    assertEquals(InstanceLifecycle.EXIT_ORDERLY, daemon.ended()
        .get(DaemonFixture.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    assertRulesKept();
  }

  @Test
  void allBackendsDrainBetweenTheAllowAndTheSend() throws Exception {
    open(false);
    authoriser.setDelay(1_300);
    authoriser.setScript(r -> StandInAuthoriser.allow());
    Daemon daemon = fixture.startDaemon("limit_ms = 3000\nbackends_share = 0\n", "");
    DaemonFixture.Caller caller = fixture.caller(daemon);
    caller.send("r1", RequestKind.BUY, 3_500);
    fixture.daemons.awaitRecorded("r1", Kind.CHECKED);
    fixture.daemons.rig.backendPool().all().forEach(b -> fixture.daemons.rig.backendPool().drain(b));
    int status = caller.receiveStatus();
    assertTrue(status == 503 || status == 429, () -> "status " + status);
    assertFalse(fixture.reachedBackend("r1"));
    assertRulesKept();
  }

  @Test
  void shutdownWhileAHundredChecksAreOpen() throws Exception {
    open(false);
    authoriser.setBehaviour(Behaviour.STALLS);
    Daemon daemon = fixture.startDaemon("limit_ms = 60000\nbackends_share = 0\n",
        "accept_ms = 50\nanswer_ms = 400\n");
    List<DaemonFixture.Caller> callers = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      DaemonFixture.Caller caller = fixture.caller(daemon);
      callers.add(caller);
      caller.send("r" + i, RequestKind.BUY, 4_000);
    }
    DaemonFixture.await("all asked", () -> authoriser.checks() == 100);
    daemon.requestEnd();
    for (DaemonFixture.Caller caller : callers) {
      assertEquals(503, caller.receiveStatus());
      assertTrue(caller.isClosed());
    }
    assertEquals(InstanceLifecycle.EXIT_ORDERLY, daemon.ended()
        .get(DaemonFixture.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    assertEquals(0, fixture.daemons.rig.counter().calls());
    assertRulesKept();
  }

  @Test
  void requestsAreRefusedAtOnceIfTheirMembersAuthoriserIsFull() throws Exception {
    fixture = new AuthorisedFixture(2, 20, false);
    authoriser = fixture.authoriser("one", "most_calls = 3\n");
    StandInAuthoriser two = fixture.authoriser("two", "");
    authoriser.setBehaviour(Behaviour.STALLS);
    Daemon daemon =
        fixture.startDaemon("[[member]]\nname = \"a\"\nfirms = [\"42\"]\nauthorisers = [\"one\"]\n"
        + "limit_ms = 60000\n[[member]]\nname = \"b\"\nfirms = [\"43-4f\"]\nauthorisers = [\"two\"]\n", "");
    List<DaemonFixture.Caller> callers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      DaemonFixture.Caller caller = fixture.caller(daemon);
      callers.add(caller);
      caller.send("r" + i, RequestKind.BUY, 1_000);
    }
    DaemonFixture.await("all asked", () -> authoriser.checks() == 3);
    assertEquals(503, statusOfBuy(daemon, "fourth"));
    assertTrue(fixture.awaitLogLine("fourth").contains("REFUSED BUSY"));
    DaemonFixture.Caller other = fixture.caller(daemon);
    other.send("other", RequestKind.BUY, 1_000, "0000000000000043");
    assertEquals(200, other.receiveStatus());
    assertEquals(1, two.checks());
    for (DaemonFixture.Caller caller : callers) {
      assertEquals(503, caller.receiveStatus());
    }
    assertRulesKept();
  }

  @Test
  @SuppressWarnings("deprecation")
  void framingAndIdentifyingHeadersStayAndOthersAreChanged() throws Exception {
    open(false);
    authoriser.setScript(r -> CheckResponse.newBuilder().setOkResponse(OkHttpResponse.newBuilder()
        .addHeaders(headerOption("Content-Length", "2"))
        .addHeaders(headerOption("transfer-encoding", "chunked"))
        .addHeaders(headerOption("Request-Id", "forged"))
        .addHeaders(headerOption("idempotency-key", "forged"))
        .addHeaders(headerOption("Host", "elsewhere")).addHeaders(headerOption("Connection", "close"))
        .addHeaders(headerOption("X-Units-Charged", "0")).addHeaders(headerOption("X-Approved-By", "one"))
        .addHeaders(headerOption("X-Approved-By", "one").toBuilder().setAppend(BoolValue.of(true)))
        .addHeadersToRemove("Content-Length").addHeadersToRemove("Idempotency-Key")
        .addHeadersToRemove("Request-Class")
        .addResponseHeadersToAdd(headerOption("X-Policy", "7"))
        .addResponseHeadersToAdd(headerOption("Content-Length",
            "0"))
    ).build());
    Daemon daemon = fixture.startDaemon("", "");
    DaemonFixture.Caller caller = fixture.caller(daemon);
    assertEquals(200, statusOfBuy(caller, "r1", 2_000));
    assertEquals("7", caller.headers().get("x-policy"));
    assertTrue(caller.body().startsWith("made for r1 by"));
    String by = caller.body().substring(caller.body().lastIndexOf(' ') + 1);
    HttpHeaders sent = fixture.daemons.rig.backendPool().all().stream().filter(b -> b.name().equals(by))
        .findFirst()
        .orElseThrow().lastHeaders();
    assertEquals("4", sent.get("Content-Length"));
    assertNull(sent.get("Transfer-Encoding"));
    assertEquals(List.of("r1"), sent.getAll("Request-Id"));
    assertEquals(List.of("key-r1"), sent.getAll("Idempotency-Key"));
    assertEquals("register-buy", sent.get("Request-Class"));
    assertEquals("b", sent.get("Host"));
    assertNull(sent.get("X-Units-Charged"));
    assertEquals(List.of("one", "one"), sent.getAll("X-Approved-By"));
    assertRulesKept();
  }

  @Test
  void anAllowWithALineBreakInAHeaderIsInvalid() throws Exception {
    open(false);
    HeaderValueOption raw = HeaderValueOption.newBuilder().setHeader(HeaderValue.newBuilder().setKey("X-A")
        .setRawValue(ByteString.copyFromUtf8("a\nb"))).build();
    List<CheckResponse> answers = List.of(ok(headerOption("X-A", "a\r\nRequest-Id: forged")), ok(raw),
        ok(headerOption("X-A\r\nB", "c")), ok(headerOption("", "c")), ok(headerOption("X-A", "\0")));
    Daemon daemon = fixture.startDaemon("", "");
    DaemonFixture.Caller caller = fixture.caller(daemon);
    for (int i = 0; i < answers.size(); i++) {
      CheckResponse answer = answers.get(i);
      authoriser.setScript(r -> answer);
      // Protobuf rejects some of these texts before the door reads them, which is a failed call as well.
      assertEquals(503, statusOfBuy(caller, "r" + i, 2_000));
      assertFalse(fixture.reachedBackend("r" + i));
    }
    assertTrue(fixture.awaitLogLine("r0").contains("BAD_ANSWER"), () -> "" + fixture.log);
    assertRulesKept();
  }

  @Test
  void checksWorkWithASingleStreamAndTinyWindows() throws Exception {
    fixture = new AuthorisedFixture(2, 20, false);
    authoriser = fixture.authoriser("one", new Http2Settings().maxConcurrentStreams(1).initialWindowSize(16)
        .maxFrameSize(16_384), "");
    authoriser.setDelay(5);
    authoriser.setScript(r -> ok(headerOption("X-Long", "y".repeat(3_000))));
    Daemon daemon = fixture.startDaemon("limit_ms = 3000\nbody_bytes = 4\nheaders = [\"x-quota\"]\n", "");
    assertEquals(200, statusOfBuy(daemon, "first"));
    List<DaemonFixture.Caller> callers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      DaemonFixture.Caller caller = fixture.caller(daemon);
      callers.add(caller);
      caller.send("r" + i, RequestKind.BUY, 4_000);
    }
    for (DaemonFixture.Caller caller : callers) {
      assertEquals(200, caller.receiveStatus());
    }
    assertEquals(21, authoriser.checks());
    assertEquals(1, authoriser.connections());
    assertRulesKept();
  }

  @Test
  void anAllowIsCachedOnlyAsItsAnswerPermits() throws Exception {
    open(false);
    fixture.daemons.rig.authorise(null);
    authoriser.setScript(r -> ok(headerOption("X-A", "a")).toBuilder()
        .setDynamicMetadata(Struct.newBuilder().putFields(
        "allow_for_ms", Value.newBuilder().setNumberValue(60_000).build())).build());
    Daemon daemon = fixture.startDaemon("most_cached_ms = 60000\n", "");
    DaemonFixture.Caller caller = fixture.caller(daemon);
    assertEquals(200, statusOfBuy(caller, "r1", 2_000));
    assertEquals(200, statusOfBuy(caller, "r2", 2_000));
    assertEquals(1, authoriser.checks());
    assertTrue(fixture.awaitLogLine("r2").contains("ALLOWED_BEFORE"));
    assertTrue(fixture.awaitLogLine("r1").contains("allow_for_ms"));
    caller.send("r3", RequestKind.BUY, 2_000, "0000000000000043");
    assertEquals(200, caller.receiveStatus());
    assertEquals(2, authoriser.checks());
  }

  @Test
  void denialStatusesAreMappedToAnswers() throws Exception {
    open(false);
    Daemon daemon = fixture.startDaemon("", "");
    DaemonFixture.Caller caller = fixture.caller(daemon);
    int[][] told = {{7, 403}, {16, 401}, {8, 429}, {3, 400}, {5, 404}, {14, 503}, {13, 503}, {2, 503}};
    for (int[] t : told) {
      authoriser.setScript(r -> CheckResponse.newBuilder()
          .setStatus(com.google.rpc.Status.newBuilder().setCode(t[0]))
          .build());
      assertEquals(t[1], statusOfBuy(caller, "c" + t[0], 2_000), "code " + t[0]);
    }
    authoriser.setScript(r -> StandInAuthoriser.deny(200, "not served by any node").toBuilder().build());
    assertEquals(403, statusOfBuy(caller, "odd", 2_000), "a denial never looks like an answer of a backend");
    authoriser.setScript(r -> CheckResponse.newBuilder()
        .setDeniedResponse(DeniedHttpResponse.getDefaultInstance())
        .build());
    assertEquals(503, statusOfBuy(caller, "both", 2_000), "neither an allow nor a denial");
    assertRulesKept();
  }

  /** A request of a firm without remaining quota is refused before any authoriser is asked. */
  @Test
  void requestsBeyondTheQuotaDoNotReachTheAuthoriser() throws Exception {
    open(false);
    Daemon daemon = fixture.startDaemon("", "");
    DaemonFixture.Caller caller = fixture.caller(daemon);
    int refused = 0;
    int sent = 0;
    for (int i = 0; i < 400 && refused < 40; i++) {
      refused += statusOfBuy(caller, "r" + i, 2_000) == 429 ? 1 : 0;
      sent++;
    }
    assertEquals(40, refused);
    assertTrue(authoriser.checks() < sent - 20, authoriser.checks() + " checks of " + sent + " tries");
    assertRulesKept();
  }

  @Test
  void withoutAReachableAuthoriserABuyIsRefusedUnlessItsClassFailsOpen() throws Exception {
    open(false);
    authoriser.kill();
    fixture.daemons.rig.authorise(null);
    Daemon closed = fixture.startDaemon("", "");
    assertEquals(503, statusOfBuy(closed, "r1"));
    assertEquals(0, fixture.daemons.rig.counter().calls());
    Daemon open = fixture.startDaemon("fail_open = [\"register-buy\"]\n", "");
    assertEquals(200, statusOfBuy(open, "r2"));
    assertTrue(fixture.awaitLogLine("r2").contains("FAILED_OPEN"));
  }

  @Test
  void aSilentConnectionIsDetectedByPings() throws Exception {
    fixture = new AuthorisedFixture(2, 20, false);
    authoriser = fixture.daemons.rig.authoriser("one", new Http2Settings(), null);
    try (SilencingProxy proxy = new SilencingProxy(authoriser.address())) {
      StandInAuthoriser named = authoriser;
      fixture.addAuthoriser(named, "");
      Daemon daemon = fixture.daemons.createDaemon(new InetSocketAddress("127.0.0.1", 0),
          "[end]\naccept_ms = 150\n"
          + "[[authoriser]]\nname = \"one\"\naddress = \"127.0.0.1:" + proxy.port()
              + "\"\nkeepalive_ms = 10000\n"
          + "keepalive_answer_ms = 100\n[[member]]\nname = \"all\"\nauthorisers = [\"one\"]\n").start(false);
      DaemonFixture.awaitUp(daemon.address());
      assertEquals(200, statusOfBuy(daemon, "r1"));
      int before = proxy.connections();
      proxy.silenceOpenConnections();
      DaemonFixture.await("a new connection", () -> proxy.connections() > before);
      DaemonFixture.await("allowed again", () -> {
        try {
          return statusOfBuy(daemon, "p" + System.nanoTime()) == 200;
        } catch (Exception e) {
          throw new AssertionError(e);
        }
      });
      assertRulesKept();
    }
  }
}
