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

/** Mutual TLS to authorisers, and changes of its files while requests continue. */
@Timeout(60)
class AuthoriserTlsTest {

  @TempDir
  private Path folder;
  private AuthorisedFixture fixture;
  private X509Bundle trusted;
  private X509Bundle untrusted;

  @BeforeEach
  void open() throws Exception {
    fixture = new AuthorisedFixture(2, 20, false);
    trusted = createAuthority("CN=members");
    untrusted = createAuthority("CN=strangers");
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private static X509Bundle createAuthority(String name) throws Exception {
    return new CertificateBuilder().subject(name).setIsCertificateAuthority(true).buildSelfSigned();
  }

  private static X509Bundle issueCertificate(X509Bundle issuer, String name) throws Exception {
    return new CertificateBuilder().subject("CN=" + name).addSanDnsName(name).buildIssuedBy(issuer);
  }

  /**
   * Starts an authoriser with a certificate for its name, which requires a client certificate of the door.
   */
  private StandInAuthoriser startAuthoriser(X509Bundle issuer, X509Bundle clientAuthority) throws Exception {
    X509Bundle certificate = issueCertificate(issuer, "policy.acme");
    SslContext tls = SslContextBuilder.forServer(certificate.toKeyManagerFactory())
        .trustManager(clientAuthority.getCertificate()).clientAuth(ClientAuth.REQUIRE)
        .ciphers(Http2SecurityUtil.CIPHERS, SupportedCipherSuiteFilter.INSTANCE)
        .applicationProtocolConfig(new ApplicationProtocolConfig(ApplicationProtocolConfig.Protocol.ALPN,
            ApplicationProtocolConfig.SelectorFailureBehavior.NO_ADVERTISE,
            ApplicationProtocolConfig.SelectedListenerFailureBehavior.ACCEPT, "h2")).build();
    return fixture.daemons.rig.authoriser("one", new Http2Settings(), tls);
  }

  private void replaceFile(String name, String pem) throws IOException {
    Path temporary = Files.writeString(folder.resolve(name + ".new"), pem);
    Files.move(temporary, folder.resolve(name), StandardCopyOption.REPLACE_EXISTING);
  }

  private void writeDoorCertificate(X509Bundle issuer, String name) throws Exception {
    X509Bundle certificate = issueCertificate(issuer, name);
    replaceFile("cert.pem", certificate.getCertificatePathPEM());
    replaceFile("key.pem", certificate.getPrivateKeyPEM());
  }

  private void writeTrustedAuthority(X509Bundle authority) throws Exception {
    replaceFile("ca.pem", authority.getCertificatePEM());
  }

  private String tlsKeys(String serverName) {
    return "ca_file = \"" + folder.resolve("ca.pem") + "\"\ncert_file = \"" + folder.resolve("cert.pem")
        + "\"\nkey_file = \"" + folder.resolve("key.pem") + "\"\nserver_name = \"" + serverName
        + "\"\nfiles_look_ms = 50\n";
  }

  private int statusOfBuy(Daemon daemon, String id) throws Exception {
    try (DaemonFixture.Caller caller = fixture.caller(daemon)) {
      caller.send(id, RequestKind.BUY, 2_000);
      return caller.receiveStatus();
    }
  }

  private void awaitStatus(Daemon daemon, int status) {
    DaemonFixture.await("status " + status, () -> {
      try {
        return statusOfBuy(daemon, "p" + System.nanoTime()) == status;
      } catch (Exception e) {
        throw new AssertionError(e);
      }
    });
  }

  @Test
  void mutualTlsWorksAndChangedFilesAreReloaded() throws Exception {
    writeTrustedAuthority(trusted);
    writeDoorCertificate(trusted, "door");
    StandInAuthoriser one = startAuthoriser(trusted, trusted);
    fixture.addAuthoriser(one, tlsKeys("policy.acme"));
    Daemon daemon = fixture.startDaemon("limit_ms = 1000\n", "");
    assertEquals(200, statusOfBuy(daemon, "r1"));
    int before = one.connections();
    // Unusable files change nothing.
    replaceFile("key.pem", "no key");
    for (int i = 0; i < 5; i++) {
      assertEquals(200, statusOfBuy(daemon, "s" + i));
    }
    assertEquals(before, one.connections());
    // Valid files are used for a new connection.
    writeDoorCertificate(trusted, "door-renewed");
    DaemonFixture.await("a new connection", () -> one.connections() > before);
    awaitStatus(daemon, 200);
    // The server rejects a door whose certificate it does not trust, and no request is forwarded.
    writeDoorCertificate(untrusted, "door");
    awaitStatus(daemon, 503);
    writeDoorCertificate(trusted, "door");
    awaitStatus(daemon, 200);
    assertTrue(fixture.daemons.verdict().passed(), () -> fixture.daemons.verdict().toString());
  }

  @Test
  void anUntrustedOrMisnamedServerIsNotAsked() throws Exception {
    writeTrustedAuthority(untrusted);
    writeDoorCertificate(trusted, "door");
    StandInAuthoriser one = startAuthoriser(trusted, trusted);
    fixture.addAuthoriser(one, tlsKeys("policy.acme"));
    Daemon daemon = fixture.startDaemon("", "");
    assertEquals(503, statusOfBuy(daemon, "r1"));
    writeTrustedAuthority(trusted);
    awaitStatus(daemon, 200);
    Daemon other = new SecondDaemon(fixture, one, tlsKeys("policy.other")).started();
    assertEquals(503, statusOfBuy(other, "r2"));
    assertTrue(fixture.daemons.verdict().passed(), () -> fixture.daemons.verdict().toString());
  }

  /** A second daemon in the same fixture that expects another server name of the authoriser. */
  private record SecondDaemon(AuthorisedFixture at, StandInAuthoriser one, String keys) {
    Daemon started() throws Exception {
      return at.startDaemon("[[authoriser]]\nname = \"again\"\naddress = \"" + StandIns.text(one.address())
          + "\"\n" + keys + "[[member]]\nname = \"all\"\nauthorisers = [\"again\"]\n", "");
    }
  }

  @Test
  void unusableFilesAreReportedAtTheStart() throws Exception {
    replaceFile("ca.pem", "nothing");
    replaceFile("cert.pem", "nothing");
    replaceFile("key.pem", "nothing");
    fixture.addAuthoriser(startAuthoriser(trusted, trusted), tlsKeys("policy.acme"));
    IOException error = assertThrows(IOException.class, () -> fixture.startDaemon("", ""));
    assertTrue(error.getMessage().contains("ca.pem"), error.getMessage());
  }
}
