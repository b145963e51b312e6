package willowdoor.steward;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.microraft.RaftEndpoint;

/**
 * The identity of a steward in the group.
 *
 * @param name the name given by the operator
 * @param store unique name of the disk that holds the steward's record. A steward with a new disk is a
 *     different member, which has no part until it is added: it no longer knows its votes and
 *     acknowledgements
 */
public record StewardId(String name, String store) implements RaftEndpoint {

  @Override
  @JsonIgnore
  public Object getId() {
    return name + "@" + store;
  }
}
