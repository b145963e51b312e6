package willowdoor.testkit;

/** Kinds of requests that the client fleet sends; the class names are those of the doors' settings. */
public enum RequestKind {
  /** Safe to repeat. */
  QUOTE("check-quote", "GET", false, false),
  /** Carries a key that lets backends drop a repeat. */
  BUY("register-buy", "POST", true, true),
  /** Must not run twice, and backends don't drop a repeat. */
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

  /** The request class as named in the settings. */
  public String className() {
    return className;
  }

  public String method() {
    return method;
  }

  /** Returns true when a request carries an idempotency key by which backends drop repeats. */
  public boolean keyed() {
    return keyed;
  }

  /** Returns true when the effect may run only once. */
  public boolean runsOnce() {
    return runsOnce;
  }

  /**
   * Returns true when the client may repeat a refused request although its effect may have run: either the
   * effect may run more than once, or all backends drop repeats.
   */
  public boolean isSafeToRepeat() {
    return keyed || !runsOnce;
  }
}
