package willowdoor.extauthz;

import io.grpc.netty.GrpcSslContexts;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import willowdoor.extauthz.ExtAuthzSettings.Tls;

/** The TLS files of one link, and their state when last read. Reads files: for a thread that may block. */
final class TlsFiles {

  private final Tls tls;
  private List<String> lastState;

  TlsFiles(Tls tls) {
    this.tls = tls;
  }

  /** Creates a TLS context from the current files. */
  SslContext read() throws IOException {
    lastState = state();
    try {
      SslContextBuilder builder = GrpcSslContexts.forClient().trustManager(tls.ca().toFile());
      if (tls.certificate() != null) {
        builder.keyManager(tls.certificate().toFile(), tls.key().toFile());
      }
      return builder.build();
    } catch (IOException | RuntimeException e) {
      throw new IOException("TLS files " + files()
          + " can't be used (expected: PEM certificates, and a PKCS 8 key"
          + " that fits): " + e.getMessage(), e);
    }
  }

  /** Returns whether any file differs from its state at the last read, successful or not. */
  boolean changed() {
    return !Objects.equals(lastState, state());
  }

  private List<Path> files() {
    return Stream.of(tls.ca(), tls.certificate(), tls.key()).filter(Objects::nonNull).toList();
  }

  private List<String> state() {
    List<String> state = new ArrayList<>();
    for (Path file : files()) {
      try {
        state.add(Files.getLastModifiedTime(file) + " " + Files.size(file) + " " + Files.readAttributes(file,
            java.nio.file.attribute.BasicFileAttributes.class).fileKey());
      } catch (IOException e) {
        state.add("missing");
      }
    }
    return state;
  }
}
