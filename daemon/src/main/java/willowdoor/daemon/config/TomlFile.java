package willowdoor.daemon.config;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** Reads a TOML file; all problems of a file are reported together. */
final class TomlFile {

  private static final int MAX_FILE_BYTES = 1 << 20;

  private TomlFile() {
  }

  /** Reads the text of a file of at most {@value #MAX_FILE_BYTES} bytes. */
  static String readText(Path file) throws IOException {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new IOException(file + " has " + Files.size(file) + " bytes (expected: at most "
            + MAX_FILE_BYTES + ")");
      }
      return Files.readString(file);
    } catch (NoSuchFileException e) {
      throw new IOException("there is no file " + file, e);
    } catch (CharacterCodingException e) {
      throw new IOException(file + " is not UTF-8 text", e);
    }
  }

  /**
   * Parses a text and passes it to a reader, which looks up all keys that it knows and records problems.
   *
   * @param file only named in errors
   * @param reader receives the whole file as a section, and the map into which effective values are recorded
   */
  static <T> T parse(Path file, String text, BiFunction<Section, Map<String, Object>, T> reader)
      throws ConfigException {
    TomlParseResult toml = Toml.parse(text);
    List<Problem> problems = new ArrayList<>();
    toml.errors().forEach(e -> problems.add(new Problem("syntax", e.position().line(),
        String.valueOf(e.getMessage()).lines().findFirst().orElse(""), "TOML 1.0")));
    T read = null;
    if (problems.isEmpty()) {
      Map<String, Object> effective = Section.newEffective();
      read = reader.apply(new Section("", toml, 0, problems, effective), effective);
    }
    if (!problems.isEmpty()) {
      problems.sort(null);
      throw new ConfigException(file, problems);
    }
    return read;
  }
}
