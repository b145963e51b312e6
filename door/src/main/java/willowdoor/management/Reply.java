package willowdoor.management;

/**
 * Reply to a management call.
 *
 * @param status the HTTP status: 2xx means success, everything else a refusal or failure
 * @param text the reply in plain words, in one line unless it carries a process's state
 */
public record Reply(int status, String text) {

  /** A successful reply. */
  public static Reply ok(String text) {
    return new Reply(200, text);
  }

  public boolean isOk() {
    return status / 100 == 2;
  }
}
