package willowdoor.epoch;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A policy document for all doors, identified by its epoch. The text is opaque here.
 *
 * @param epoch assigned in ascending order to all documents that were ever proposed; 0 for none
 * @param hash the SHA-256 hash of the text, in hexadecimal
 * @param by who proposed the document
 * @param replaces the epoch that was in force when the document was written
 */
public record PolicyDocument(long epoch, String hash, String text, String by, String reason, long replaces) {

  /** The maximum length of a text in UTF-8 bytes, so that a document fits into one command. */
  public static final int MAX_BYTES = 1_000_000;
  /** No document: before the first change each door uses its own file. */
  public static final PolicyDocument NONE = new PolicyDocument(0, "", "", "", "", 0);

  /** The SHA-256 hash of a text, in hexadecimal. */
  public static String hash(String text) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256")
          .digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Whether the text has the hash that the document states. */
  public boolean hashMatches() {
    return hash.equals(hash(text));
  }
}
