package willowdoor.valkey;

/**
 * Access settings of the server. Its address and the time limit of a call come from the door's own settings.
 *
 * @param user the user to authenticate as, or empty
 * @param password the password, or empty if the server requires none
 * @param prefix prefix of all keys; installations that share a server need different prefixes
 */
public record ValkeySettings(String user, String password, String prefix) {

  public ValkeySettings {
    if (!prefix.matches("[A-Za-z0-9:._-]{1,64}")) {
      throw new IllegalArgumentException("prefix: \"" + prefix
          + "\" (expected: 1 to 64 letters, digits, or any of : . _ -)");
    }
    if (!user.isEmpty() && password.isEmpty()) {
      throw new IllegalArgumentException("password: missing (expected: one for the user " + user + ")");
    }
  }

  /** Omits the password, so that it appears in no log. */
  @Override
  public String toString() {
    return "ValkeySettings[user=" + user + ", prefix=" + prefix + "]";
  }
}
