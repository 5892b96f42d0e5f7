package trestleline.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Typed access to the fields of one JSON object. Unless a default is given, a field that is missing, null or of another
 * type raises a {@link InvalidInputException} that names the object's location and the field.
 */
public final class JsonObjectReader {
    private final JsonNode node;
    private final String location;

    /**
     * Wraps a JSON object.
     *
     * @param location where the object stands in the input, for error messages
     * @throws InvalidInputException if the node is null or not an object
     */
    public JsonObjectReader(JsonNode node, String location) {
        this.node = node;
        this.location = location;
        if (node == null || !node.isObject()) throw new InvalidInputException(location + ": not an object");
    }

    private InvalidInputException invalid(String name, String expectedType) {
        return new InvalidInputException(
                location + ": field '" + name + "' " + (has(name) ? "is not " + expectedType : "is missing"));
    }

    /** Whether the field exists and is not null. */
    public boolean has(String name) {
        return node.hasNonNull(name);
    }

    /** Returns a number. */
    public double getDouble(String name) {
        JsonNode value = node.get(name);
        if (value == null || !value.isNumber()) throw invalid(name, "a number");
        return value.doubleValue();
    }

    /** Returns a number, or the default if the field is missing. */
    public double getDouble(String name, double defaultValue) {
        return has(name) ? getDouble(name) : defaultValue;
    }

    /** Returns an integer; beyond the range of {@code long} its low 64 bits are returned. */
    public long getLong(String name) {
        JsonNode value = node.get(name);
        if (value == null || !value.isNumber() || value.doubleValue() != Math.rint(value.doubleValue())) {
            throw invalid(name, "an integer");
        }
        return value.isBigInteger() ? value.bigIntegerValue().longValue() : value.longValue();
    }

    /** Returns a 32-bit integer. */
    public int getInt(String name) {
        long value = getLong(name);
        if (value != (int) value) throw invalid(name, "a 32-bit integer");
        return (int) value;
    }

    /** Returns a 32-bit integer, or the default if the field is missing. */
    public int getInt(String name, int defaultValue) {
        return has(name) ? getInt(name) : defaultValue;
    }

    /** Returns a string. */
    public String getString(String name) {
        JsonNode value = node.get(name);
        if (value == null || !value.isTextual()) throw invalid(name, "a string");
        return value.textValue();
    }

    /** Returns a string, or the default if the field is missing or not a string. */
    public String getString(String name, String defaultValue) {
        return has(name) && node.get(name).isTextual() ? getString(name) : defaultValue;
    }

    /** Returns a boolean. */
    public boolean getBoolean(String name) {
        JsonNode value = node.get(name);
        if (value == null || !value.isBoolean()) throw invalid(name, "a boolean");
        return value.booleanValue();
    }

    /** Returns a boolean, or the default if the field is missing. */
    public boolean getBoolean(String name, boolean defaultValue) {
        return has(name) ? getBoolean(name) : defaultValue;
    }

    /** Returns a nested object. */
    public JsonObjectReader getObject(String name) {
        if (!has(name) || !node.get(name).isObject()) throw invalid(name, "an object");
        return new JsonObjectReader(node.get(name), location + "." + name);
    }

    private JsonNode array(String name) {
        JsonNode value = node.get(name);
        if (value == null || !value.isArray()) throw invalid(name, "an array");
        return value;
    }

    /** Converts each object of an array. */
    public <T> List<T> getObjects(String name, Function<JsonObjectReader, T> converter) {
        List<T> converted = new ArrayList<>();
        for (JsonNode element : array(name))
            converted.add(converter.apply(new JsonObjectReader(element, location + "." + name)));
        return converted;
    }

    /** Returns an array of strings. */
    public List<String> getStrings(String name) {
        List<String> strings = new ArrayList<>();
        for (JsonNode element : array(name)) {
            if (!element.isTextual()) throw invalid(name, "an array of strings");
            strings.add(element.textValue());
        }
        return strings;
    }

    /** Returns an array of numbers. */
    public double[] getDoubles(String name) {
        JsonNode array = array(name);
        double[] numbers = new double[array.size()];
        for (int i = 0; i < numbers.length; i++) {
            if (!array.get(i).isNumber()) throw invalid(name, "an array of numbers");
            numbers[i] = array.get(i).doubleValue();
        }
        return numbers;
    }

    /** Returns an array of booleans. */
    public boolean[] getBooleans(String name) {
        JsonNode array = array(name);
        boolean[] booleans = new boolean[array.size()];
        for (int i = 0; i < booleans.length; i++) {
            if (!array.get(i).isBoolean()) throw invalid(name, "an array of booleans");
            booleans[i] = array.get(i).booleanValue();
        }
        return booleans;
    }

    /** Returns an array of numbers as 32-bit integers; fractions are dropped. */
    public int[] getInts(String name) {
        double[] numbers = getDoubles(name);
        int[] integers = new int[numbers.length];
        for (int i = 0; i < integers.length; i++) integers[i] = (int) numbers[i];
        return integers;
    }

    /** Returns the numeric fields of a nested object, in order; empty if that is missing. Other fields are ignored. */
    public Map<String, Double> getNumberMap(String name) {
        Map<String, Double> numbers = new LinkedHashMap<>();
        if (!has(name)) return numbers;
        JsonNode object = node.get(name);
        if (!object.isObject()) throw invalid(name, "an object");
        object.fields().forEachRemaining(field -> {
            if (field.getValue().isNumber())
                numbers.put(field.getKey(), field.getValue().doubleValue());
        });
        return numbers;
    }
}
