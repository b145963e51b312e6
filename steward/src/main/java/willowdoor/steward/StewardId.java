package willowdoor.steward;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.microraft.RaftEndpoint;

/**
 * A steward as the others know it.
 *
 * @param name as its operator calls it
 * @param store which disk it keeps the record on, unlike any other: one whose disk is new is another steward,
 *     which the others don't count until it is added, as it has forgotten what it promised
 */
public record StewardId(String name, String store) implements RaftEndpoint {

  @Override
  @JsonIgnore
  public Object getId() {
    return name + "@" + store;
  }
}
