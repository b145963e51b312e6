package willowdoor.steward;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import java.io.IOException;
import java.util.Map;
import willowdoor.agreement.Command;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.State;

/**
 * Encodes commands, outcomes, snapshots and the messages of links as JSON. Each object of a sealed family
 * states its type in the property {@code is}.
 */
public final class Codec {

  /** The maximum size of a command in bytes: about 1,000 heartbeats, or 10,000 backends. */
  static final int MAX_COMMAND_BYTES = 1 << 20;

  /** The names of types in the property {@code is} where they differ from the simple names of the classes. */
  private static final Map<Class<?>, String> OUTER_NAMES = Map.of(
      Command.LeaderElected.class, "Lead",
      Command.Heartbeats.class, "Beats",
      Command.UpdateBackends.class, "Sight",
      Command.RequestPermit.class, "Ask",
      Command.ReturnPermit.class, "Return",
      Outcome.ReleaseStarted.class, "Begun",
      Outcome.HeartbeatsRecorded.class, "Beaten");

  private static final ObjectMapper JSON = mapper();

  private Codec() {
  }

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
  private interface TypeInProperty { }

  /** Creates a mapper that also handles these further sealed families of messages. */
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
      mapper.registerSubtypes(new NamedType(subtype, outerName(subtype)));
    }
  }

  /** The name of a type of command or outcome in the property {@code is} and in messages. */
  public static String outerName(Class<?> type) {
    return OUTER_NAMES.getOrDefault(type, type.getSimpleName());
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
   * Encodes a command as a log entry.
   *
   * @throws IllegalArgumentException if the encoded command is longer than a command may be
   */
  public static byte[] bytes(Command command) {
    byte[] bytes = write(command, Command.class);
    if (bytes.length > MAX_COMMAND_BYTES) {
      throw new IllegalArgumentException("a " + outerName(command.getClass()) + " of " + bytes.length
          + " bytes (expected: " + MAX_COMMAND_BYTES + " at most)");
    }
    return bytes;
  }

  /** Encodes the state for a snapshot. */
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

  /** Decodes a value; the exception for invalid input names the expected kind and the place of the error. */
  private static <T> T read(byte[] bytes, Class<T> type) {
    try {
      return JSON.readValue(bytes, type);
    } catch (IOException e) {
      throw new IllegalArgumentException("no " + type.getSimpleName().toLowerCase(java.util.Locale.ROOT)
          + " is in these " + bytes.length + " bytes: " + e.getMessage(), e);
    }
  }
}
