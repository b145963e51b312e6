package willowdoor.agreement;

/** What may be taken out on purpose: a door or a backend, by its name. */
public record Subject(Kind kind, String name) {

  /** Each kind has a budget of its own. */
  public enum Kind { DOOR, BACKEND }

  @Override
  public String toString() {
    return kind.name().toLowerCase(java.util.Locale.ROOT) + " " + name;
  }
}
