package willowdoor.steward.link;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import willowdoor.agreement.Command;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.State;
import willowdoor.steward.Codec;

/**
 * Pins commands, outcomes, snapshots and the messages of links as an earlier build wrote them: every kind,
 * with every constant of its enums. A renamed type, component or constant would not be understood by that
 * build.
 */
class PinnedFormsTest {

  private static final Map<String, Class<?>> ROOTS = Map.of("command", Command.class,
      "outcome", Outcome.class, "state", State.class, "call", Call.class, "answer", Answer.class,
      "link", LinkMessage.class);

  @Test
  void everyKindIsReadAndWrittenAsBefore() throws IOException {
    ObjectMapper json = Codec.mapperFor(LinkMessage.class, Call.class, Answer.class);
    Set<Class<?>> seen = new HashSet<>();
    for (String line : forms().lines().toList()) {
      String root = line.substring(0, line.indexOf(' '));
      String form = line.substring(root.length() + 1);
      Object value = json.readValue(form, ROOTS.get(root));
      seen.add(value.getClass());
      assertEquals(form, json.writerFor(ROOTS.get(root)).writeValueAsString(value));
    }
    for (Class<?> root : ROOTS.values()) {
      Set<Class<?>> kinds = root.isSealed() ? Set.of(root.getPermittedSubclasses()) : Set.of(root);
      kinds.forEach(kind -> assertEquals(true, seen.contains(kind), kind + " has no pinned form"));
    }
  }

  private static String forms() throws IOException {
    try (InputStream in = PinnedFormsTest.class.getResourceAsStream("/pinned/forms.txt")) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
