package willowdoor.testkit;

/** The kinds of requests that the client fleet sends; the names are those of the doors' settings. */
public enum RequestKind {
  QUOTE("check-quote", "GET", false),
  BUY("register-buy", "POST", true);

  private final String className;
  private final String method;
  private final boolean keyed;

  RequestKind(String className, String method, boolean keyed) {
    this.className = className;
    this.method = method;
    this.keyed = keyed;
  }

  /** The class as the settings name it. */
  public String className() {
    return className;
  }

  public String method() {
    return method;
  }

  /** True when it carries a key by which the backends drop repeats. */
  public boolean keyed() {
    return keyed;
  }
}
