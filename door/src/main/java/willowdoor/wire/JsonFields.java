package willowdoor.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * JSON objects as plain maps, with lenient accessors: a value that is missing or of another type counts as
 * absent.
 */
public final class JsonFields {

  private JsonFields() {
  }

  /** Reads the object at the parser's position; throws an IOException if there is no object. */
  public static Map<String, Object> object(JsonParser in) throws IOException {
    if (in.currentToken() != JsonToken.START_OBJECT) {
      throw new IOException("expected an object, found " + in.currentToken());
    }
    Map<String, Object> fields = new HashMap<>();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String field = in.currentName();
      in.nextToken();
      fields.put(field, value(in));
    }
    if (in.currentToken() != JsonToken.END_OBJECT) {
      throw new IOException("input ends inside a message");
    }
    return fields;
  }

  private static Object value(JsonParser in) throws IOException {
    return switch (in.currentToken()) {
      case START_OBJECT -> object(in);
      case START_ARRAY -> {
        List<Object> items = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
          items.add(value(in));
        }
        yield items;
      }
      case VALUE_STRING -> in.getText();
      case VALUE_NUMBER_INT -> in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
          ? (Object) in.getBigIntegerValue() : (Object) in.getLongValue();
      case VALUE_NUMBER_FLOAT -> in.getDoubleValue();
      case VALUE_TRUE -> Boolean.TRUE;
      case VALUE_FALSE -> Boolean.FALSE;
      default -> null;
    };
  }

  public static String text(Map<String, Object> fields, String name) {
    return fields.get(name) instanceof String s ? s : "";
  }

  public static double number(Map<String, Object> fields, String name) {
    return number(fields, name, 0);
  }

  public static double number(Map<String, Object> fields, String name, double defaultValue) {
    return fields.get(name) instanceof Number n ? n.doubleValue() : defaultValue;
  }

  public static boolean flag(Map<String, Object> fields, String name) {
    return Boolean.TRUE.equals(fields.get(name));
  }

  @SuppressWarnings("unchecked")
  public static Map<String, Object> child(Map<String, Object> fields, String name) {
    return fields.get(name) instanceof Map<?, ?> m ? (Map<String, Object>) m : Map.of();
  }

  @SuppressWarnings("unchecked")
  public static List<Map<String, Object>> children(Map<String, Object> fields, String name) {
    List<Map<String, Object>> found = new ArrayList<>();
    if (fields.get(name) instanceof List<?> items) {
      for (Object item : items) {
        if (item instanceof Map<?, ?> m) {
          found.add((Map<String, Object>) m);
        }
      }
    }
    return found;
  }
}
