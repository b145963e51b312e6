package willowdoor.management;

/**
 * What an operator is told.
 *
 * @param status of HTTP: 2xx is yes, all else is no
 * @param text one line in plain words
 */
public record Reply(int status, String text) {

  /** Yes. */
  public static Reply ok(String text) {
    return new Reply(200, text);
  }

  public boolean isOk() {
    return status / 100 == 2;
  }
}
