package willowdoor.agreement;

import java.util.Set;

/**
 * The right of one subject to be out. It ends when the subject is seen ready again after its return, by no
 * timer and by nobody's death.
 *
 * @param id counted up, never used again
 * @param request the asker's name of the request
 * @param since the command by which it came to its stage
 * @param left for a backend: the processes of doors, as door/incarnation, that send it nothing more
 */
public record Permit(long id, String request, Subject subject, String by, String reason, boolean force,
    Stage stage, long since, Set<String> left) {

  /** How far it has come. */
  public enum Stage {
    /** For its turn. */
    WAITING,
    /** It goes out: doors still send to it, or it still answers. */
    GRANTED,
    /** Nothing is sent to it any more. */
    OUT,
    /** It comes back, and is not ready yet. */
    RETURNING
  }

  /** Keeps a copy. */
  public Permit {
    left = Set.copyOf(left);
  }

  boolean countsAgainstBudget() {
    return stage != Stage.WAITING;
  }

  Permit withStage(Stage newStage, long commandIndex) {
    return new Permit(id, request, subject, by, reason, force, newStage, commandIndex, left);
  }

  Permit withLeft(Set<String> newLeft) {
    return new Permit(id, request, subject, by, reason, force, stage, since, newLeft);
  }
}
