package willowdoor.daemon.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http2.Http2SecurityUtil;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.ssl.ApplicationProtocolConfig;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SupportedCipherSuiteFilter;
import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.testkit.RequestKind;
import willowdoor.testkit.StandIns;
import willowdoor.testkit.StandInAuthoriser;

/** Mutual TLS to authorisers, and its files changing while requests go on. */
@Timeout(60)
class AuthoriserTlsTest {

  @TempDir
  private Path folder;
  private AuthorisedFixture fixture;
  private X509Bundle trusted;
  private X509Bundle stranger;

  @BeforeEach
  void open() throws Exception {
    fixture = new AuthorisedFixture(2, 20, false);
    trusted = authority("CN=members");
    stranger = authority("CN=strangers");
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private static X509Bundle authority(String name) throws Exception {
    return new CertificateBuilder().subject(name).setIsCertificateAuthority(true).buildSelfSigned();
  }

  private static X509Bundle leaf(X509Bundle issuer, String name) throws Exception {
    return new CertificateBuilder().subject("CN=" + name).addSanDnsName(name).buildIssuedBy(issuer);
  }

  /** A policy server that is who it says and asks the same of the door. */
  private StandInAuthoriser server(X509Bundle issuer, X509Bundle clients) throws Exception {
    X509Bundle own = leaf(issuer, "policy.acme");
    SslContext tls = SslContextBuilder.forServer(own.toKeyManagerFactory())
        .trustManager(clients.getCertificate()).clientAuth(ClientAuth.REQUIRE)
        .ciphers(Http2SecurityUtil.CIPHERS, SupportedCipherSuiteFilter.INSTANCE)
        .applicationProtocolConfig(new ApplicationProtocolConfig(ApplicationProtocolConfig.Protocol.ALPN,
            ApplicationProtocolConfig.SelectorFailureBehavior.NO_ADVERTISE,
            ApplicationProtocolConfig.SelectedListenerFailureBehavior.ACCEPT, "h2")).build();
    return fixture.daemons.rig.authoriser("one", new Http2Settings(), tls);
  }

  private void write(String name, String pem) throws IOException {
    Path fresh = Files.writeString(folder.resolve(name + ".new"), pem);
    Files.move(fresh, folder.resolve(name), StandardCopyOption.REPLACE_EXISTING);
  }

  private void doorIs(X509Bundle issuer, String name) throws Exception {
    X509Bundle own = leaf(issuer, name);
    write("cert.pem", own.getCertificatePathPEM());
    write("key.pem", own.getPrivateKeyPEM());
  }

  private void trusts(X509Bundle authority) throws Exception {
    write("ca.pem", authority.getCertificatePEM());
  }

  private String keys(String serverName) {
    return "ca_file = \"" + folder.resolve("ca.pem") + "\"\ncert_file = \"" + folder.resolve("cert.pem")
        + "\"\nkey_file = \"" + folder.resolve("key.pem") + "\"\nserver_name = \"" + serverName
        + "\"\nfiles_look_ms = 50\n";
  }

  private int asked(Daemon daemon, String id) throws Exception {
    try (DaemonFixture.Caller caller = fixture.caller(daemon)) {
      caller.send(id, RequestKind.BUY, 2_000);
      return caller.receive();
    }
  }

  private void awaitStatus(Daemon daemon, int status) {
    DaemonFixture.await("status " + status, () -> {
      try {
        return asked(daemon, "p" + System.nanoTime()) == status;
      } catch (Exception e) {
        throw new AssertionError(e);
      }
    });
  }

  @Test
  void bothSidesKnowEachOtherAndChangedFilesAreTaken() throws Exception {
    trusts(trusted);
    doorIs(trusted, "door");
    StandInAuthoriser one = server(trusted, trusted);
    fixture.addAuthoriser(one, keys("policy.acme"));
    Daemon daemon = fixture.startDaemon("limit_ms = 1000\n", "");
    assertEquals(200, asked(daemon, "r1"));
    int before = one.connections();
    // Files that can't be used change nothing.
    write("key.pem", "no key");
    for (int i = 0; i < 5; i++) {
      assertEquals(200, asked(daemon, "s" + i));
    }
    assertEquals(before, one.connections());
    // Good ones are taken over a new connection.
    doorIs(trusted, "door-renewed");
    DaemonFixture.await("a new connection", () -> one.connections() > before);
    awaitStatus(daemon, 200);
    // A door that the server does not know is turned away, and nothing is sent on.
    doorIs(stranger, "door");
    awaitStatus(daemon, 503);
    doorIs(trusted, "door");
    awaitStatus(daemon, 200);
    assertTrue(fixture.daemons.verdict().kept(), () -> fixture.daemons.verdict().toString());
  }

  @Test
  void aServerThatIsNotTrustedOrBearsAnotherNameIsNotAsked() throws Exception {
    trusts(stranger);
    doorIs(trusted, "door");
    StandInAuthoriser one = server(trusted, trusted);
    fixture.addAuthoriser(one, keys("policy.acme"));
    Daemon daemon = fixture.startDaemon("", "");
    assertEquals(503, asked(daemon, "r1"));
    trusts(trusted);
    awaitStatus(daemon, 200);
    Daemon other = new AuthorisedWorldPart(fixture, one, keys("policy.other")).started();
    assertEquals(503, asked(other, "r2"));
    assertTrue(fixture.daemons.verdict().kept(), () -> fixture.daemons.verdict().toString());
  }

  /** A second daemon of the same world that names its authoriser otherwise. */
  private record AuthorisedWorldPart(AuthorisedFixture at, StandInAuthoriser one, String keys) {
    Daemon started() throws Exception {
      return at.startDaemon("[[authoriser]]\nname = \"again\"\naddress = \"" + StandIns.text(one.address())
          + "\"\n" + keys + "[[member]]\nname = \"all\"\nauthorisers = [\"again\"]\n", "");
    }
  }

  @Test
  void filesThatCannotBeUsedAreToldAtTheStart() throws Exception {
    write("ca.pem", "nothing");
    write("cert.pem", "nothing");
    write("key.pem", "nothing");
    fixture.addAuthoriser(server(trusted, trusted), keys("policy.acme"));
    IOException told = assertThrows(IOException.class, () -> fixture.startDaemon("", ""));
    assertTrue(told.getMessage().contains("ca.pem"), told.getMessage());
  }
}
