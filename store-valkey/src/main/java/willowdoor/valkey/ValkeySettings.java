package willowdoor.valkey;

/**
 * How to reach the server beside its address and the limit of a call, which the door's own settings tell.
 *
 * @param user the user to authenticate as, or empty
 * @param password the password, or empty when none is asked for
 * @param prefix what all keys begin with; installations that share a server differ in it
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

  /** The password is in no log. */
  @Override
  public String toString() {
    return "ValkeySettings[user=" + user + ", prefix=" + prefix + "]";
  }
}
