package willowdoor.agreement;

/** A door or a backend that can be taken out of service on purpose, identified by its name. */
public record Subject(Kind kind, String name) {

  /** Each kind has its own {@link Budget}. */
  public enum Kind { DOOR, BACKEND }

  @Override
  public String toString() {
    return kind.name().toLowerCase(java.util.Locale.ROOT) + " " + name;
  }
}
