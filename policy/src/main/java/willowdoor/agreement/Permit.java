package willowdoor.agreement;

import java.util.Set;

/**
 * The permission of one subject to be out of service. A granted permit ends only when the subject has been
 * returned and then seen ready again; neither a timeout nor the failure of any process ends the permit.
 *
 * @param id assigned in ascending order and never reused
 * @param request the requester's own name of the request
 * @param by who asked for the permit
 * @param force whether the permit is granted even beyond the budget
 * @param since the index of the command that moved the permit to its stage
 * @param left for a backend: the processes of doors, as door/incarnation, that no longer send to the backend
 */
public record Permit(long id, String request, Subject subject, String by, String reason, boolean force,
    Stage stage, long since, Set<String> left) {

  /** The stages of a permit, in order. */
  public enum Stage {
    /** The permit waits until the budget allows it. */
    WAITING,
    /** The subject is going out: doors may still send to the backend, or the door still serves clients. */
    GRANTED,
    /** The subject no longer receives requests. */
    OUT,
    /** The permit was returned, and the subject is not ready yet. */
    RETURNING
  }

  /** Makes a defensive copy. */
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
