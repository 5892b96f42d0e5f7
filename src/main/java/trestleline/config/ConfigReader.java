package trestleline.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Reads settings in JSON5 (json5.org) and collects all errors with their paths instead of stopping at the first. A
 * field that was never read is an error too, as most are typing errors. A value returned after an error only serves to
 * continue reading; {@link #finish} throws if there was any error.
 */
public final class ConfigReader {
    private static final JsonMapper JSON5 = JsonMapper.builder()
            .enable(
                    JsonReadFeature.ALLOW_JAVA_COMMENTS,
                    JsonReadFeature.ALLOW_UNQUOTED_FIELD_NAMES,
                    JsonReadFeature.ALLOW_SINGLE_QUOTES,
                    JsonReadFeature.ALLOW_TRAILING_COMMA,
                    JsonReadFeature.ALLOW_LEADING_PLUS_SIGN_FOR_NUMBERS,
                    JsonReadFeature.ALLOW_LEADING_DECIMAL_POINT_FOR_NUMBERS,
                    JsonReadFeature.ALLOW_TRAILING_DECIMAL_POINT_FOR_NUMBERS,
                    JsonReadFeature.ALLOW_BACKSLASH_ESCAPING_ANY_CHARACTER)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private final String file;
    private final String path;
    private final JsonNode node;
    private final List<String> errors;
    private final Set<String> requestedFields = new HashSet<>();
    private final List<ConfigReader> allReaders;

    private ConfigReader(String file, String path, JsonNode node, List<String> errors, List<ConfigReader> allReaders) {
        this.file = file;
        this.path = path;
        this.node = node;
        this.errors = errors;
        this.allReaders = allReaders;
        allReaders.add(this);
    }

    /**
     * Opens a file. Throws {@link ConfigException} if it cannot be read or is not a JSON5 object; syntax errors are
     * reported with line and column.
     */
    public static ConfigReader open(Path path) {
        try {
            return parse(path.toString(), Files.readString(path));
        } catch (IOException e) {
            throw new ConfigException(path.toString(), List.of("cannot be read: " + e.getMessage()));
        }
    }

    /**
     * Parses a text; {@code name} stands for the file in messages. Throws {@link ConfigException} if it is not a JSON5
     * object.
     */
    public static ConfigReader parse(String name, String text) {
        JsonNode root;
        try {
            root = JSON5.readTree(text);
        } catch (JsonProcessingException e) {
            String location = e.getLocation() == null
                    ? ""
                    : "line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr() + ": ";
            throw new ConfigException(name, List.of(location + e.getOriginalMessage()));
        }
        if (root == null || !root.isObject()) throw new ConfigException(name, List.of("expected an object"));
        return new ConfigReader(name, "", root, new ArrayList<>(), new ArrayList<>());
    }

    private String pathOf(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    /** Adds an error on a field of this object. */
    public void error(String field, String expected) {
        errors.add(pathOf(field) + ": " + expected);
    }

    /** Returns whether the field is present and not null; the field counts as known from then on. */
    public boolean has(String field) {
        requestedFields.add(field);
        return node.hasNonNull(field);
    }

    private JsonNode nodeOf(String field, boolean required, String expected) {
        boolean present = has(field);
        if (!present && required) error(field, "is missing; expected " + expected);
        return present ? node.get(field) : null;
    }

    private static String range(double min, double max) {
        if (max == Double.POSITIVE_INFINITY) return "of at least " + format(min);
        return "from " + format(min) + " to " + format(max);
    }

    private static String format(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    private double boundedNumber(String field, double min, double max, Double defaultValue, boolean whole) {
        String expected = (whole ? "a whole number " : "a number ") + range(min, max);
        JsonNode value = nodeOf(field, defaultValue == null, expected);
        if (value == null) return defaultValue == null ? min : defaultValue;
        double number = value.isNumber() ? value.doubleValue() : Double.NaN;
        if (!(number >= min && number <= max) || whole && number != Math.rint(number)) {
            error(field, "is " + value + "; expected " + expected);
            return min;
        }
        return number;
    }

    /** Returns a required number within the bounds. */
    public double number(String field, double min, double max) {
        return boundedNumber(field, min, max, null, false);
    }

    /** Returns an optional number within the bounds. */
    public double number(String field, double min, double max, double defaultValue) {
        return boundedNumber(field, min, max, defaultValue, false);
    }

    /** Returns a required integer within the bounds. */
    public int integer(String field, int min, int max) {
        return (int) boundedNumber(field, min, max, null, true);
    }

    /** Returns an optional integer within the bounds. */
    public int integer(String field, int min, int max, int defaultValue) {
        return (int) boundedNumber(field, min, max, (double) defaultValue, true);
    }

    /** Returns an optional boolean. */
    public boolean flag(String field, boolean defaultValue) {
        JsonNode value = nodeOf(field, false, "");
        if (value == null) return defaultValue;
        if (!value.isBoolean()) error(field, "is " + value + "; expected true or false");
        return value.asBoolean();
    }

    /** Returns a required string that matches a pattern; {@code expected} describes the pattern in messages. */
    public String text(String field, String pattern, String expected) {
        JsonNode value = nodeOf(field, true, expected);
        return value == null ? "" : matching(field, value, pattern, expected);
    }

    /** Returns an optional string that matches a pattern; {@code expected} describes the pattern in messages. */
    public String text(String field, String pattern, String expected, String defaultValue) {
        JsonNode value = nodeOf(field, false, expected);
        return value == null ? defaultValue : matching(field, value, pattern, expected);
    }

    private String matching(String field, JsonNode value, String pattern, String expected) {
        if (value.isTextual() && value.textValue().matches(pattern)) return value.textValue();
        error(field, "is " + value + "; expected " + expected);
        return "";
    }

    /** Returns one of several words; the field is required if {@code defaultValue} is null. */
    public String oneOf(String field, List<String> words, String defaultValue) {
        String expected = "one of " + String.join(", ", words);
        JsonNode value = nodeOf(field, defaultValue == null, expected);
        if (value == null) return defaultValue == null ? words.get(0) : defaultValue;
        if (value.isTextual() && words.contains(value.textValue())) return value.textValue();
        error(field, "is " + value + "; expected " + expected);
        return words.get(0);
    }

    /** Returns a required array of numbers of at least {@code min} each, {@code minSize} or more of them. */
    public double[] numbers(String field, double min, int minSize) {
        String expected = "an array of " + minSize + " or more numbers " + range(min, Double.POSITIVE_INFINITY);
        JsonNode value = nodeOf(field, true, expected);
        double[] numbers = new double[minSize];
        if (value == null) return numbers;
        boolean valid = value.isArray() && value.size() >= minSize;
        if (valid) {
            numbers = new double[value.size()];
            for (int i = 0; i < numbers.length; i++) {
                numbers[i] = value.get(i).doubleValue();
                if (!value.get(i).isNumber() || !(numbers[i] >= min)) valid = false;
            }
        }
        if (!valid) error(field, "is " + value + "; expected " + expected);
        return numbers;
    }

    /** Returns an optional array of strings. */
    public List<String> strings(String field, List<String> defaultValue) {
        JsonNode value = nodeOf(field, false, "");
        if (value == null) return defaultValue;
        List<String> texts = new ArrayList<>();
        if (value.isArray()) value.forEach(t -> texts.add(t.isTextual() ? t.textValue() : null));
        if (!value.isArray() || texts.contains(null)) error(field, "is " + value + "; expected an array of texts");
        texts.remove(null);
        return texts;
    }

    /**
     * Returns the reader of a nested object. A missing one is read as empty, so that its required fields are reported.
     */
    public ConfigReader object(String field) {
        JsonNode value = nodeOf(field, false, "an object");
        if (value != null && !value.isObject()) {
            error(field, "is " + value + "; expected an object");
            value = null;
        }
        return new ConfigReader(
                file, pathOf(field), value == null ? JSON5.createObjectNode() : value, errors, allReaders);
    }

    /**
     * Returns the reader of a nested object with further fields set. Where a field is an object on both sides, the two
     * are merged.
     */
    public ConfigReader objectWith(String field, Map<String, ?> additions) {
        ObjectNode merged =
                has(field) && node.get(field).isObject() ? node.get(field).deepCopy() : JSON5.createObjectNode();
        ObjectNode additionsNode = JSON5.valueToTree(additions);
        additionsNode.fields().forEachRemaining(f -> {
            if (f.getValue().isObject() && merged.path(f.getKey()).isObject()) {
                ((ObjectNode) merged.get(f.getKey())).setAll((ObjectNode) f.getValue());
            } else {
                merged.set(f.getKey(), f.getValue());
            }
        });
        return new ConfigReader(file, pathOf(field), merged, errors, allReaders);
    }

    /** Returns this object as JSON text. */
    public String json() {
        return node.toString();
    }

    /** Reads an array of {@code minSize} or more objects, one by one. */
    public <T> List<T> objects(String field, int minSize, Function<ConfigReader, T> read) {
        JsonNode value = nodeOf(field, minSize > 0, "an array of " + minSize + " or more objects");
        List<T> results = new ArrayList<>();
        if (value == null) return results;
        if (!value.isArray() || value.size() < minSize) {
            error(field, "expected an array of " + minSize + " or more objects");
            return results;
        }
        for (int i = 0; i < value.size(); i++) {
            String elementPath = pathOf(field) + "[" + i + "]";
            if (value.get(i).isObject())
                results.add(read.apply(new ConfigReader(file, elementPath, value.get(i), errors, allReaders)));
            else errors.add(elementPath + ": is " + value.get(i) + "; expected an object");
        }
        return results;
    }

    /** Throws {@link ConfigException} with all errors found, including fields that were never read. */
    public void finish() {
        for (ConfigReader reader : allReaders) {
            var unknown = new TreeSet<String>();
            reader.node.fieldNames().forEachRemaining(unknown::add);
            unknown.removeAll(reader.requestedFields);
            for (String field : unknown) {
                reader.error(
                        field,
                        "is not a known field; known here: "
                                + String.join(", ", new TreeSet<>(reader.requestedFields)));
            }
        }
        if (!errors.isEmpty()) throw new ConfigException(file, errors);
    }
}
