package willowdoor.testkit;

/** The kinds of requests that the client fleet sends; the names are those of the doors' settings. */
public enum RequestKind {
  /** Safe to repeat. */
  QUOTE("check-quote", "GET", false, false),
  /** Its key lets the backends drop a repeat. */
  BUY("register-buy", "POST", true, true),
  /** Must never run twice, and nothing drops a repeat. */
  TRANSFER("move-title", "POST", false, true);

  private final String className;
  private final String method;
  private final boolean keyed;
  private final boolean runsOnce;

  RequestKind(String className, String method, boolean keyed, boolean runsOnce) {
    this.className = className;
    this.method = method;
    this.keyed = keyed;
    this.runsOnce = runsOnce;
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

  /** True when its effect may run once only. */
  public boolean runsOnce() {
    return runsOnce;
  }

  /** True when a refusal is harmless even after it may have run: a repeat is dropped by all backends. */
  public boolean isSafeToRepeat() {
    return keyed || !runsOnce;
  }
}
