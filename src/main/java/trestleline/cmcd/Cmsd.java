package trestleline.cmcd;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.greenbytes.http.sfv.Dictionary;
import org.greenbytes.http.sfv.Item;
import org.greenbytes.http.sfv.ListElement;
import org.greenbytes.http.sfv.NumberItem;
import org.greenbytes.http.sfv.OuterList;
import org.greenbytes.http.sfv.Parameters;
import org.greenbytes.http.sfv.Parser;
import org.greenbytes.http.sfv.StringItem;

/**
 * Common Media Server Data (CTA-5006): {@code CMSD-Static}, a dictionary that the origin sets, and
 * {@code CMSD-Dynamic}, a list with one entry per hop, each a string that names the entity and has its keys as
 * parameters (section 3). A host's load and delivered share are sent as custom keys, which have a reverse-domain prefix
 * (section 3.3).
 */
public final class Cmsd {
    /** Name of the header that the origin sets. */
    public static final String STATIC_HEADER = "CMSD-Static";
    /** Name of the header to which each hop appends its entry. */
    public static final String DYNAMIC_HEADER = "CMSD-Dynamic";
    /** Custom key: the share of their rates that sessions at this host recently got, from 0 to 1. */
    public static final String SHARE_KEY = "com.trestleline-share";
    /** Prefix of the custom keys of a load report; the rest of the key is the name of the value. */
    public static final String LOAD_KEY_PREFIX = "com.trestleline-load-";

    private static final int MAX_HEADER_LENGTH = 4096;
    private static final int MAX_HOPS = 8;

    private Cmsd() {}

    /**
     * Formats the value of {@code CMSD-Static}.
     *
     * @param keys integers, strings or booleans by their keys
     */
    public static String formatStatic(Map<String, Object> keys) {
        Map<String, ListElement<? extends Object>> dictionary = new LinkedHashMap<>();
        Parameters.valueOf(keys).forEach(dictionary::put);
        return Dictionary.valueOf(dictionary).serialize();
    }

    /**
     * Formats the value of {@code CMSD-Dynamic} with one more hop at its end, as section 3 requires. Earlier hops are
     * dropped altogether if they are not a valid list or are too many.
     *
     * @param received the header as received, or null
     * @param entity name of the entity that adds the hop
     * @param keys numbers or booleans by their keys; numbers of type {@code Double} are rounded to three decimals
     */
    public static String appendHop(String received, String entity, Map<String, Object> keys) {
        List<ListElement<? extends Object>> hops = new ArrayList<>(parseHops(received));
        if (hops.size() >= MAX_HOPS) hops.clear();
        Map<String, Object> rounded = new LinkedHashMap<>();
        keys.forEach((key, value) -> rounded.put(
                key,
                value instanceof Double number ? BigDecimal.valueOf(number).setScale(3, RoundingMode.HALF_UP) : value));
        hops.add(StringItem.valueOf(entity).withParams(Parameters.valueOf(rounded)));
        return OuterList.valueOf(hops).serialize();
    }

    /**
     * Returns the numeric parameters of an entity's hops by key; empty if there are none or the header is malformed.
     * Implausible values (negative or above a million) are left out.
     *
     * @param header the value of {@code CMSD-Dynamic}, or null
     * @param entity name of the entity
     */
    public static Map<String, Double> numericParameters(String header, String entity) {
        Map<String, Double> parameters = new LinkedHashMap<>();
        for (ListElement<? extends Object> hop : parseHops(header)) {
            if (!(hop instanceof StringItem name) || !name.get().equals(entity)) continue;
            name.getParams().forEach((key, item) -> {
                if (!(item instanceof NumberItem<?> number)) return;
                double value = (double) number.getAsLong() / number.getDivisor();
                if (value >= 0 && value <= 1e6) parameters.put(key, value);
            });
        }
        return parameters;
    }

    /** Returns the load report among an entity's numeric parameters, by the names that the decision module uses. */
    public static Map<String, Double> loadReport(Map<String, Double> parameters) {
        Map<String, Double> report = new LinkedHashMap<>();
        parameters.forEach((key, value) -> {
            if (key.startsWith(LOAD_KEY_PREFIX)) report.put(key.substring(LOAD_KEY_PREFIX.length()), value);
        });
        return report;
    }

    private static List<ListElement<? extends Object>> parseHops(String header) {
        if (header == null || header.isEmpty() || header.length() > MAX_HEADER_LENGTH) return List.of();
        try {
            List<ListElement<? extends Object>> hops = new ArrayList<>();
            for (ListElement<? extends Object> hop : Parser.parseList(header).get()) {
                if (hop instanceof Item<?>) hops.add(hop);
            }
            return hops;
        } catch (RuntimeException e) { // ParseException, or another one that odd text causes in the parser
            return List.of();
        }
    }
}
