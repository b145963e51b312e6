package willowdoor.epoch;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A policy as all doors are to have it, under its epoch. What it says is for its readers; here it is text.
 *
 * @param epoch counted up over all documents that were ever proposed; 0 for none
 * @param hash of the text (SHA-256, in hexadecimal)
 * @param replaces the epoch that was in force when it was written
 */
public record PolicyDocument(long epoch, String hash, String text, String by, String reason, long replaces) {

  /** Longer ones are refused, in UTF-8 bytes; so that one goes into a command. */
  public static final int MAX_BYTES = 1_000_000;
  /** Before the first change each door goes by its own file. */
  public static final PolicyDocument NONE = new PolicyDocument(0, "", "", "", "", 0);

  /** The hash of a text. */
  public static String hash(String text) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256")
          .digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Whether it is whole. */
  public boolean hashMatches() {
    return hash.equals(hash(text));
  }
}
