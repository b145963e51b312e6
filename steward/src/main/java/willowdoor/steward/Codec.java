package willowdoor.steward;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import java.io.IOException;
import willowdoor.agreement.Command;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.State;

/** Commands, outcomes, snapshots and what links carry as JSON, each kind by its name in {@code is}. */
public final class Codec {

  /** No command may be longer, in bytes: some 1,000 heartbeats, or 10,000 backends. */
  static final int MAX_COMMAND_BYTES = 1 << 20;

  private static final ObjectMapper JSON = mapper();

  private Codec() {
  }

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
  private interface TypeInProperty { }

  /** The same for further families of messages, each sealed. */
  public static ObjectMapper mapperFor(Class<?>... roots) {
    ObjectMapper mapper = mapper();
    for (Class<?> root : roots) {
      registerSubtypes(mapper, root);
    }
    return mapper;
  }

  private static void registerSubtypes(ObjectMapper mapper, Class<?> root) {
    mapper.addMixIn(root, TypeInProperty.class);
    for (Class<?> subtype : root.getPermittedSubclasses()) {
      mapper.registerSubtypes(new NamedType(subtype, subtype.getSimpleName()));
    }
  }

  private static ObjectMapper mapper() {
    ObjectMapper mapper = JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
        .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES,
            DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES).build();
    mapper.getFactory().setStreamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(20).build());
    registerSubtypes(mapper, Command.class);
    registerSubtypes(mapper, Outcome.class);
    return mapper;
  }

  /**
   * As the log has it.
   *
   * @throws IllegalArgumentException where it is longer than a command may be
   */
  public static byte[] bytes(Command command) {
    byte[] bytes = write(command, Command.class);
    if (bytes.length > MAX_COMMAND_BYTES) {
      throw new IllegalArgumentException("a " + command.getClass().getSimpleName() + " of " + bytes.length
          + " bytes (expected: " + MAX_COMMAND_BYTES + " at most)");
    }
    return bytes;
  }

  /** As a snapshot has it. */
  public static byte[] bytes(State state) {
    return write(state, State.class);
  }

  private static byte[] write(Object value, Class<?> type) {
    try {
      return JSON.writerFor(type).writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot write " + value, e);
    }
  }

  static Command readCommand(byte[] bytes) {
    return read(bytes, Command.class);
  }

  static State readState(byte[] bytes) {
    return read(bytes, State.class);
  }

  /** What cannot be read is named, with where. */
  private static <T> T read(byte[] bytes, Class<T> type) {
    try {
      return JSON.readValue(bytes, type);
    } catch (IOException e) {
      throw new IllegalArgumentException("no " + type.getSimpleName().toLowerCase(java.util.Locale.ROOT)
          + " is in these " + bytes.length + " bytes: " + e.getMessage(), e);
    }
  }
}
